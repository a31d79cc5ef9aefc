import type { BackendServerRow } from "./backend_server_row.ts";

/** What is to be routed. */
type Call = {
  /** The call's first bytes, for prompt-prefix caches; empty for none. */
  prefix: string;
  now: number;
};

/** Chooses one of the backend servers that could take a call. */
export interface RoutingPolicy {
  choose(
    candidates: BackendServerRow[],
    call: Call,
  ): BackendServerRow | undefined;
}
