import type { ConnectRouter } from "@connectrpc/connect";
import { TimelineService } from "@teaselrouter/messages/agent.ts";
import { Result } from "true-myth";
import { CallerIntake } from "../http/caller_intake.ts";
import { EventLog } from "../log/event_log.ts";
import { collectUnderPressure } from "./collect_under_pressure.ts";
import type { Daemon } from "./daemon.ts";
import { createStatsdClient } from "../metrics/create_statsd_client.ts";
import { MetricsServer } from "../metrics/metrics_server.ts";
import { ProcessMetrics } from "../metrics/process_metrics.ts";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import type { Settings } from "../settings/settings.ts";
import { ClientPool } from "../transport/client_pool.ts";
import { InternalServer } from "../transport/internal_server.ts";
import { loadApps } from "./load_apps.ts";

const MEGABYTE = 1_048_576;

type Options = {
  settings: Settings;
  /** Adapter for the platform that this process runs on, if on one. */
  platform?: PlatformAdapter | undefined;
  /** Called on a failure after which this process can't continue safely. */
  stopProcess: (reason: string) => void;
};

/** Creates and starts the roles of a process; the error says what failed. */
export async function startDaemon(
  options: Options,
): Promise<Result<Daemon, string>> {
  const { settings, platform } = options;
  const processMetrics = new ProcessMetrics();
  const log = new EventLog(
    settings.name,
    settings.log.level,
    (event) => processMetrics.events.inc({ event }),
  );
  const metrics = await createStatsdClient(settings);
  const clients = new ClientPool(settings.internal.dial);
  const stopProcess = (reason: string) => {
    log.error("process-stops", { reason });
    options.stopProcess(reason);
  };
  const intake = new CallerIntake({
    machine: settings.machine,
    servesCallers: settings.roles.some((role) =>
      role === "gateway" || role === "entry"
    ),
    maximumBodyBytes: settings.gateway?.max_held_body_bytes,
    log,
  });
  const { memory_megabytes } = settings.machine;
  const stopCollecting = memory_megabytes === undefined
    ? () => undefined
    : collectUnderPressure(memory_megabytes * MEGABYTE);
  const apps = await loadApps(settings.roles);

  const openedControl = await apps.control?.open({
    settings,
    clients,
    log,
    intake,
    stopProcess,
    platform,
  });
  if (openedControl?.isErr) return Result.err(openedControl.error);
  const control = openedControl?.value;
  const appOptions = { settings, clients, log, metrics, intake };
  const entry = apps.entry && new apps.entry({ ...appOptions, processMetrics });
  const agent = apps.agent && new apps.agent(appOptions);
  if (platform === undefined && (apps.gateway ?? apps.stager)) {
    return Result.err(
      "roles: gateway and stager need a build with a platform adapter",
    );
  }
  const gateway = apps.gateway && new apps.gateway({
    ...appOptions,
    metrics: processMetrics,
    platform: platform!,
  });
  const stager = apps.stager &&
    new apps.stager({ ...appOptions, platform: platform! });

  const routes = (router: ConnectRouter) => {
    router.service(TimelineService, {
      read: ({ since }) => ({ events: log.timeline.eventsSince(since) }),
    });
    control?.routes(router);
    entry?.routes(router);
    agent?.routes(router);
  };
  const server = new InternalServer({
    routes,
    intake,
    ...(control && { mayConnect: (ip) => control.mayConnect(ip) }),
  });
  const listening = await server.listen(settings.internal.listen);
  if (listening.isErr) return Result.err(listening.error);

  const metricsServer = new MetricsServer(processMetrics, intake);
  const metricsAddress = settings.metrics?.listen;
  if (metricsAddress !== undefined) {
    const metricsListening = await metricsServer.listen(metricsAddress);
    if (metricsListening.isErr) return Result.err(metricsListening.error);
  }
  for (const app of [control, entry, agent, gateway, stager]) {
    const started = await app?.start();
    if (started?.isErr) return Result.err(started.error);
  }
  log.info("started", { roles: settings.roles.join(",") });

  const stop = async () => {
    log.info("stopping");
    stager?.stop();
    await Promise.all([entry?.stop(), agent?.stop(), gateway?.stop()]);
    await control?.stop();
    server.close();
    metricsServer.close();
    stopCollecting();
    clients.close();
    await new Promise<void>((resolve) => metrics.close(() => resolve()));
    log.info("stopped");
    await log.flush();
  };
  const reload = (settings: Result<Settings, string[]>) => {
    if (settings.isErr) {
      return log.error("reload-refused", { faults: settings.error.join("; ") });
    }
    log.info("reloaded");
    for (const app of [control, gateway, stager]) app?.reload(settings.value);
  };
  return Result.ok({ reload, stop });
}
