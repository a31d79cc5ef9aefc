#!/usr/bin/env node
import process from "node:process";
import { createProgram } from "./create_program.ts";
import { exitCode } from "./exit_code.ts";
import { refuseUnknownCommand } from "./refuse_unknown_command.ts";

// The command line library ends with 1 on bad usage; here that is 2.
const endAsUsage = (code: number) => {
  if (code !== exitCode.done) process.exitCode = exitCode.usage;
};

refuseUnknownCommand(process.argv.slice(2));
process.once("exit", endAsUsage);
const parsed = createProgram().parse(process.argv, {
  lazy: true,
  unknown: (option) => `unknown option ${option}; see --help`,
});
process.off("exit", endAsUsage);
if (parsed !== undefined) parsed.handler(...parsed.args);
