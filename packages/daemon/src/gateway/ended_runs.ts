import type { EndedServer } from "./ended_server.ts";

/**
 * Requests that may have been running where a backend server ended, and that
 * this host had in flight there or had given up.
 */
export type EndedRuns =
  & Pick<EndedServer, "announcement" | "interrupted" | "at">
  & { areGivenUp?: boolean };
