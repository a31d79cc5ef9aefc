/** A claim on a call that may not be repeated. */
export type ClaimRow = {
  workspace: string;
  key: string;
  service: string;
  bodyDigest: string;
  backendServer: string;
  /** The only agent process that may run the call. */
  incarnation: string;
  requestId: string;
  /** Log index of the claim; differs when a cancelled key is claimed again. */
  claimIndex: number;
  state: "claimed" | "ran" | "unknown";
  status: number;
  contentType: string;
  /** Base64. */
  answer: string;
  /**
   * The leader's wall-clock time when it proposed the command, Unix
   * milliseconds.
   */
  at: number;
};
