/** The latest announcement of a backend server. */
export type BackendAnnouncement = {
  /** Usually identifies one start of a backend server, but can be reused. */
  instance: string;
  service: string;
  /** IP address and port that receive requests. */
  address: string;
  dataCentre: string;
  slots: number;
  state: "ready" | "leaving" | "gone";
  /** Start time, Unix milliseconds; later for a start that reuses the id. */
  bornAt: number;
  /** Increases with each announcement of one start. */
  sequence: number;
  /** Remaining time in which the backend server is slow after its start. */
  coldMilliseconds: number;
  /** Completely loaded models that the backend server serves, by name. */
  models: { name: string; version: number }[];
};
