import process from "node:process";
import { exitCode } from "./exit_code.ts";
import { knownCommands } from "./known_commands.ts";
import { suggestName } from "./output/suggest_name.ts";

/**
 * Exits with a usage error if `words`, the command-line arguments, don't start
 * with a known command. Suggests the nearest command if one is similar.
 */
export function refuseUnknownCommand(words: string[]): void {
  const firstOption = words.findIndex((word) => word.startsWith("-"));
  const typed = (firstOption < 0 ? words : words.slice(0, firstOption)).slice(
    0,
    2,
  );
  if (typed.length === 0) return;
  const isKnown = knownCommands.some((command) =>
    typed[0] === command || typed.join(" ") === command ||
    (typed.length === 1 && command.startsWith(`${typed[0]} `) &&
      words.includes("--help"))
  );
  if (isKnown) return;
  const suggestion = suggestName(typed.join(" "), knownCommands) ??
    suggestName(typed[0]!, knownCommands);
  const hint = suggestion === undefined
    ? "see --help"
    : `did you mean "${suggestion}"?`;
  process.stderr.write(`unknown command "${typed.join(" ")}"; ${hint}\n`);
  process.exit(exitCode.usage);
}
