import type { BackendServerRow } from "./backend_server_row.ts";

/** The properties of a call that a policy uses. */
type Call = {
  /**
   * The call's first bytes, to match prompt-prefix caches; empty if there are
   * none.
   */
  prefix: string;
  now: number;
};

/** Chooses among the backend servers that could take a call. */
export interface RoutingPolicy {
  choose(
    candidates: BackendServerRow[],
    call: Call,
  ): BackendServerRow | undefined;
}
