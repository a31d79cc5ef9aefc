import process from "node:process";
import sade from "sade";
import type { Result } from "true-myth";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { SettingsWatch } from "../settings/settings_watch.ts";
import type { Daemon } from "../wiring/daemon.ts";
import { loadApps } from "../wiring/load_apps.ts";
import { startDaemon } from "../wiring/start_daemon.ts";

const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

type CliOptions = { settings?: string; check?: boolean };

/**
 * Runs the daemon's command line. `platform` is the adapter for the platform
 * that the daemon runs on, if on one.
 */
export function runDaemon(platform?: PlatformAdapter): void {
  sade("teaselrouterd", true)
    .version("0.1.0")
    .describe("One process of teaselrouter, in the roles of its settings")
    .option("--settings", "TOML settings file")
    .option("--check", "Only check the settings; exits 0 or 2")
    .example("--settings /etc/teaselrouter/entry.toml")
    .action((cliOptions: CliOptions) => run(cliOptions, platform))
    .parse(process.argv, {
      unknown: (option) => {
        process.stderr.write(`unknown option ${option}; see --help\n`);
        process.exit(EXIT_INVALID_SETTINGS);
      },
    });
}

async function run(
  cliOptions: CliOptions,
  platform: PlatformAdapter | undefined,
) {
  if (cliOptions.settings === undefined) {
    process.stderr.write("--settings FILE is needed\n");
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const settings = await loadSettings(cliOptions.settings);
  if (settings.isErr) {
    for (const line of settings.error) process.stderr.write(`${line}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  if (cliOptions.check) return void await loadApps(settings.value.roles);
  const starting = startDaemon({
    settings: settings.value,
    platform,
    stopProcess: (reason) => {
      process.stderr.write(`${reason}\n`);
      process.exit(EXIT_FAILED);
    },
  });
  const path = cliOptions.settings;
  const reloadSettings = () => reload(path, starting);
  process.on("SIGHUP", reloadSettings);
  const daemon = await starting;
  if (daemon.isErr) {
    process.stderr.write(`${daemon.error}\n`);
    process.exit(EXIT_FAILED);
  }
  stopOnSignal(daemon.value);
  const watch = new SettingsWatch({ path, onChange: reloadSettings });
  await watch.start();
}

/** Stops as planned at the first signal; further ones change nothing. */
function stopOnSignal(daemon: Daemon): void {
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    daemon.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

/** Reloads the settings. Invalid settings are logged and change nothing. */
async function reload(
  path: string,
  starting: Promise<Result<Daemon, string>>,
): Promise<void> {
  const daemon = await starting;
  const settings = await loadSettings(path);
  if (daemon.isOk) daemon.value.reload(settings);
}
