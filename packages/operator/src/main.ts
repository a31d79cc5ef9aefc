#!/usr/bin/env node
import process from "node:process";
import { createProgram } from "./create_program.ts";
import { exitCode } from "./exit_code.ts";
import { refuseUnknownCommand } from "./refuse_unknown_command.ts";

// On a usage error sade exits with 1, which this client uses for `refused`.
const exitWithUsageError = (code: number) => {
  if (code !== exitCode.done) process.exitCode = exitCode.usage;
};

refuseUnknownCommand(process.argv.slice(2));
process.once("exit", exitWithUsageError);
const parsed = createProgram().parse(process.argv, {
  lazy: true,
  unknown: (option) => `unknown option ${option}; see --help`,
});
process.off("exit", exitWithUsageError);
if (parsed !== undefined) parsed.handler(...parsed.args);
