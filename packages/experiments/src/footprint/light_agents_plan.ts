/** Input of a process that runs several agents, as JSON in a file. */
export type LightAgentsPlan = {
  agents: {
    name: string;
    dataCentre: string;
    internal: string;
    agentAddress: string;
    address: string;
  }[];
  entryHosts: string[];
};
