/** An answer that broke off at its caller after a part had been sent. */
export type AnswerCut = {
  /** Id of the request, as its backend server got it. */
  id: string;
  backendServer: string;
  reason: "agent-unreachable" | "server-broke-off" | "time-over";
  /** More about the reason. */
  detail: string;
  /** Since anything was last heard of the call from its agent. */
  silentMilliseconds: number;
  retriesLeft: number;
};
