/** What the process of fakes is told, as JSON in a file. */
export type FakesPlan = {
  backendServers: {
    service: string;
    kind: "engine" | "repeatable" | "unrepeatable";
    agentAddress: string;
    address: string;
    checksFencing: boolean;
  }[];
};
