import type { Command } from "./command.ts";

/** The command type whose `kind` is `Kind`. */
export type CommandOf<Kind extends Command["kind"]> = Extract<
  Command,
  { kind: Kind }
>;
