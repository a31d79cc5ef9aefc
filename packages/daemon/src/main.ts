#!/usr/bin/env node
import process from "node:process";
import sade from "sade";
import { loadSettings } from "./settings/load_settings.ts";
import { startDaemon } from "./wiring/start_daemon.ts";

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

async function run(options: { settings?: string; check?: boolean }) {
  if (options.settings === undefined) {
    process.stderr.write("--settings FILE is needed\n");
    process.exit(EXIT_SETTINGS);
  }
  const settings = await loadSettings(options.settings);
  if (settings.isErr) {
    for (const line of settings.error) process.stderr.write(`${line}\n`);
    process.exit(EXIT_SETTINGS);
  }
  if (options.check) return;
  const daemon = await startDaemon({
    settings: settings.value,
    stopProcess: () => process.exit(EXIT_FAILED),
  });
  if (daemon.isErr) {
    process.stderr.write(`${daemon.error}\n`);
    process.exit(EXIT_FAILED);
  }
  const stop = () => {
    daemon.value.stop().then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

sade("teaselrouterd", true)
  .version("0.1.0")
  .describe("One process of teaselrouter: control, entry or agent roles")
  .option("--settings", "TOML settings file")
  .option("--check", "Only check the settings; exits 0 or 2")
  .example("--settings /etc/teaselrouter/entry.toml")
  .action(run)
  .parse(process.argv, {
    unknown: (option) => {
      process.stderr.write(`unknown option ${option}; see --help\n`);
      process.exit(EXIT_SETTINGS);
    },
  });
