/** One service's backend servers, by data centre. */
type ServicePlan = {
  service: string;
  kind: "engine" | "repeatable" | "unrepeatable";
  dataCentres: string[];
};

/** What a cluster on loopback is made of. */
export type Topology = {
  /** Entry hosts by data centre; `control` ones keep the log. */
  entryHosts: { name: string; dataCentre: string; control: boolean }[];
  services: ServicePlan[];
  linkBytesPerSecond: number;
  regionBytesPerSecond: number;
  spreadWeighing: "time" | "origin-bytes";
  /** Whether processes of different data centres meet through relays. */
  withRelays: boolean;
  logLevel: "debug" | "info" | "warn" | "error";
};
