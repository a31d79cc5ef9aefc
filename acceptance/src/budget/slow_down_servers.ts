import type { FakeBackendServer } from "../fake_backend_server.ts";
import type { SlowEngineTerms } from "./slow_engine_terms.ts";

/** Lets servers answer and end as a day says; else they do so as usual. */
export function slowDownServers(
  servers: readonly FakeBackendServer[],
  terms: Partial<SlowEngineTerms>,
): void {
  const { drawFirstByte, drawHead, drawCrashDelay } = terms;
  const { eventIntervalMilliseconds } = terms;
  for (const server of servers) {
    Object.assign(server, {
      ...(drawFirstByte && { drawFirstByte }),
      ...(drawHead && { drawHead }),
      ...(drawCrashDelay && { drawCrashDelay }),
      ...(eventIntervalMilliseconds && { eventIntervalMilliseconds }),
    });
  }
}
