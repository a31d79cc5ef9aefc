import type { ResolvedBreak } from "@teaselrouter/core/crashes/resolved_break.ts";
import type { InterruptedCall } from "./interrupted_call.ts";

/**
 * The end of one incarnation of a backend server, with this host's requests
 * that were in flight there.
 */
export type EndedServer = ResolvedBreak<InterruptedCall>;
