/** What a backend server last said of itself. */
export type BackendStanding = {
  /** Names one start of a backend server, mostly. */
  instance: string;
  service: string;
  /** IP and port that requests go to. */
  address: string;
  dataCentre: string;
  slots: number;
  state: "ready" | "leaving" | "gone";
  /** Time of its start, Unix milliseconds; an id used again has a later one. */
  bornAt: number;
  /** Rises with each thing that one start says. */
  sequence: number;
  /** How much longer it works slowly after its start. */
  coldMilliseconds: number;
  /** Complete models that it serves, by name. */
  models: { name: string; version: number }[];
};
