/** One call that may not be repeated. */
export type ClaimRow = {
  workspace: string;
  key: string;
  service: string;
  bodyDigest: string;
  backendServer: string;
  /** The agent process that alone may run it. */
  incarnation: string;
  requestId: string;
  /** Log index of the claim; a cancelled key may be claimed anew. */
  claimIndex: number;
  state: "claimed" | "ran" | "unknown";
  status: number;
  contentType: string;
  /** Base64. */
  answer: string;
  /** Leader's clock, milliseconds. */
  at: number;
};
