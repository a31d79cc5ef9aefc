/** Arguments of run_fakes.ts, which reads them from a JSON file. */
export type FakesPlan = {
  /** From the last byte of weights until an engine has loaded them. */
  loadMilliseconds: number;
  /** Between the lines of an engine's answer. */
  lineMilliseconds: number;
  backendServers: {
    service: string;
    kind: "engine" | "repeatable" | "unrepeatable";
    agentAddress: string;
    address: string;
    checksFencing: boolean;
  }[];
};
