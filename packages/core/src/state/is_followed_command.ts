import type { Command } from "./command.ts";

/** Whether entry hosts are sent this command; they hold no claims. */
export function isFollowedCommand(command: Command): boolean {
  return command.kind !== "claim" && command.kind !== "settle-claim" &&
    command.kind !== "cancel-claim";
}
