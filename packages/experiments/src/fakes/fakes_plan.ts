/** Arguments of run_fakes.ts, which reads them from a JSON file. */
export type FakesPlan = {
  backendServers: {
    service: string;
    kind: "engine" | "repeatable" | "unrepeatable";
    agentAddress: string;
    address: string;
    checksFencing: boolean;
  }[];
};
