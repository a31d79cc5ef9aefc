/** One service, with the data centre of each of its backend servers. */
type ServicePlan = {
  service: string;
  kind: "engine" | "repeatable" | "unrepeatable";
  dataCentres: string[];
};

/** The processes of a cluster on loopback and its limits. */
export type Topology = {
  /** Hosts with `control` set are also control hosts and keep the log. */
  entryHosts: { name: string; dataCentre: string; control: boolean }[];
  services: ServicePlan[];
  linkBytesPerSecond: number;
  regionBytesPerSecond: number;
  spreadObjective: "time" | "origin-bytes";
  /** Whether processes of different data centres connect through relays. */
  withRelays: boolean;
  /** What each machine lets a process use; nothing is said by default. */
  machine?: { memory_megabytes: number; descriptors: number };
  logLevel: "debug" | "info" | "warn" | "error";
};
