import type { BreakVerdict } from "./break_verdict.ts";
import type { ServerBreak } from "./server_break.ts";

/** A break on which something has been found out, or never was. */
export type ResolvedBreak<Interrupted> = ServerBreak<Interrupted> & {
  verdict: BreakVerdict;
};
