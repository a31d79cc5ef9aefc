/** Arguments of run_fakes.ts, which reads them from a JSON file. */
export type FakesPlan = {
  /** From the last byte of weights until an engine has loaded them. */
  loadMilliseconds: number;
  backendServers: {
    service: string;
    kind: "engine" | "repeatable" | "unrepeatable";
    agentAddress: string;
    address: string;
    checksFencing: boolean;
  }[];
};
