import type { Command } from "./command.ts";

/** The command of one kind. */
export type CommandOf<Kind extends Command["kind"]> = Extract<
  Command,
  { kind: Kind }
>;
