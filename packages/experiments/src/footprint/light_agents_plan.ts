/** What a process of light agents is told, as JSON in a file. */
export type LightPlan = {
  agents: {
    name: string;
    dataCentre: string;
    internal: string;
    agentAddress: string;
    address: string;
  }[];
  entryHosts: string[];
};
