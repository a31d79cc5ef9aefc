import { StatsD } from "hot-shots";
import type { Settings } from "../settings/settings.ts";

/** The process's metrics; without settings they go nowhere. */
export function createMetrics(settings: Settings): StatsD {
  const tags = { process: settings.name, data_centre: settings.data_centre };
  if (settings.metrics?.statsd === undefined) {
    return new StatsD({ mock: true, globalTags: tags, maxBufferSize: 0 });
  }
  const [host, port] = settings.metrics.statsd.split(":");
  return new StatsD({
    host: host!,
    port: Number(port),
    prefix: settings.metrics.prefix,
    globalTags: tags,
    maxBufferSize: 1_200,
    errorHandler: () => undefined,
  });
}
