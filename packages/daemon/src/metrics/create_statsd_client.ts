import type { Settings } from "../settings/settings.ts";
import type { StatsdMetrics } from "./statsd_metrics.ts";
import { unreportedMetrics } from "./unreported_metrics.ts";

/**
 * Creates the StatsD client for the process's metrics. Without a StatsD server
 * in the settings the client's module isn't loaded, and nothing is sent.
 */
export async function createStatsdClient(
  settings: Settings,
): Promise<StatsdMetrics> {
  const { metrics } = settings;
  if (metrics?.statsd === undefined) return unreportedMetrics;
  const { StatsD } = await import("hot-shots");
  const [host, port] = metrics.statsd.split(":");
  return new StatsD({
    host: host!,
    port: Number(port),
    prefix: metrics.prefix,
    globalTags: { process: settings.name, data_centre: settings.data_centre },
    maxBufferSize: 1_200,
    errorHandler: () => undefined,
  });
}
