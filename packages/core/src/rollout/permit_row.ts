/** A backend server's permission to stop serving and load a version. */
export type PermitRow = {
  backendServer: string;
  service: string;
  /** Incarnation of the agent process that asked for the permit. */
  incarnation: string;
  /** As `versionName` formats it: name@version. */
  version: string;
  wasServing: boolean;
  /** Log index of the permit; load orders carry it as their fencing token. */
  fencingToken: number;
  /**
   * The leader's wall-clock time when it proposed the command, Unix
   * milliseconds.
   */
  at: number;
};
