/** A backend server's permission to stop serving and load a version. */
export type PermitRow = {
  backendServer: string;
  service: string;
  incarnation: string;
  version: string;
  wasServing: boolean;
  /** Log index of the permit; load orders carry it as their fencing token. */
  fencingToken: number;
  /** Leader's clock, milliseconds. */
  at: number;
};
