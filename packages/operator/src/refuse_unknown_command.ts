import process from "node:process";
import { exitCode } from "./exit_code.ts";
import { knownCommands } from "./known_commands.ts";
import { suggestName } from "./output/suggest_name.ts";

/** Ends with a suggestion when the words typed are no command. */
export function refuseUnknownCommand(words: string[]): void {
  const first = words.findIndex((word) => word.startsWith("-"));
  const typed = (first < 0 ? words : words.slice(0, first)).slice(0, 2);
  if (typed.length === 0) return;
  const known = knownCommands.some((command) =>
    typed[0] === command || typed.join(" ") === command ||
    (typed.length === 1 && command.startsWith(`${typed[0]} `) &&
      words.includes("--help"))
  );
  if (known) return;
  const near = suggestName(typed.join(" "), knownCommands) ??
    suggestName(typed[0]!, knownCommands);
  const hint = near === undefined ? "see --help" : `did you mean "${near}"?`;
  process.stderr.write(`unknown command "${typed.join(" ")}"; ${hint}\n`);
  process.exit(exitCode.usage);
}
