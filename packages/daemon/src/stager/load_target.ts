/** The weights that the engine on this host is to load. */
export type LoadTarget = {
  model: string;
  versionNumber: number;
  /** Model and version number: `model@number`. */
  version: string;
  /** When this host received the target, monotonic milliseconds. */
  since: number;
};
