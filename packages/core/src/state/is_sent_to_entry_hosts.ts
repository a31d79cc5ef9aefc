import type { Command } from "./command.ts";

/** Most of the bytes, and of no use to entry hosts. */
const NOT_FOLLOWED: ReadonlySet<Command["kind"]> = new Set([
  "claim",
  "settle-claim",
  "cancel-claim",
  "replace-routing",
  "name-weights",
  "suspect-request",
]);

/** Whether entry hosts are sent this command. */
export function isFollowedCommand(command: Command): boolean {
  return !NOT_FOLLOWED.has(command.kind);
}
