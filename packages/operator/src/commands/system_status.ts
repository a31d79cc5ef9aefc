/** Response of an entry host to `GET /v1/operator/status`. */
export type SystemStatus = {
  entry_host: string;
  data_centre: string;
  has_lease: boolean;
  leader: string;
  term: number;
  applied_index: number;
  entry_hosts: { host: string; dataCentre: string; publicAddress: string }[];
  contracts: {
    workspace: string;
    number: number;
    retired: boolean;
    requests_per_second: number;
    demand: number;
  }[];
  weights: {
    service: string;
    version: string;
    number: number;
    bytes: number;
    live: number;
    replicas: number;
  }[];
  /** Evacuations in force; missing from entry hosts of earlier versions. */
  evacuations?: { data_centre: string; since: number }[];
  backend_servers: {
    backend_server: string;
    data_centre: string;
    service: string;
    version: string;
    accepting: boolean;
    drained: boolean;
    heard_milliseconds_ago: number;
    in_flight: number;
    running: number;
    queued: number;
  }[];
};
