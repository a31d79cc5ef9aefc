import type { Command } from "./command.ts";

/** Commands that entry hosts do not use. They are most of the bytes. */
const NOT_FOLLOWED_KINDS: ReadonlySet<Command["kind"]> = new Set([
  "claim",
  "settle-claim",
  "cancel-claim",
  "replace-routing",
  "name-weights",
  "suspect-request",
  "record-crash",
  "record-departures",
]);

/** Whether this command is sent to entry hosts. */
export function isSentToEntryHosts(command: Command): boolean {
  return !NOT_FOLLOWED_KINDS.has(command.kind);
}
