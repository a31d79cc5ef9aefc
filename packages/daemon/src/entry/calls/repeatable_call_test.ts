import { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
import { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { CallCrashDetector } from "./call_crash_detector.ts";
import type { RefusedRetry } from "./refused_retry.ts";
import { RepeatableCall } from "./repeatable_call.ts";

/** Nobody listens on this port: each attempt fails at once. */
const NOBODY = "127.0.0.1:1";
const SERVERS = 3;
const OTHER_CALLS = 1_000;

/** Makes a call that fails at every server it tries. */
async function countAttempts(
  service: string,
  retries: RetryBudgets,
): Promise<{ attempts: number; refused: RefusedRetry | undefined }> {
  const clients = new ClientPool();
  let attempts = 0;
  const router = {
    route: (_state: unknown, { tried }: { tried: ReadonlySet<string> }) => {
      if (tried.size === SERVERS) {
        return { kind: "refuse", reason: "none", retryAfterMilliseconds: 0 };
      }
      attempts += 1;
      const to = createBackendServerRow({
        backendServer: `server-${attempts}`,
        internalAddress: NOBODY,
      } as never, 0);
      return { kind: "send", to };
    },
  };
  const call = new RepeatableCall(
    {
      state: createEmptyControlState,
      router: router as unknown as Router,
      outliers: new OutlierDetector(),
      retries,
      clients,
      crashes: {
        mayRetry: () => true,
        checkBlame: () => undefined,
      } as unknown as CallCrashDetector,
    },
    {
      workspace: "desk",
      service,
      path: "/look",
      body: Buffer.from("a call"),
      contentType: "text/plain",
      idempotencyKey: "",
      deadlineMilliseconds: 3_000,
      priority: 5,
      receivedAt: Date.now(),
    },
    Object.assign(new EventEmitter(), {
      headersSent: false,
    }) as unknown as ServerResponse,
  );
  await call.run();
  clients.close();
  return { attempts, refused: call.refusedRetry };
}

// Guards against a service that fails as a whole and is retried with what the
// calls of others have earned, and against retries that a start brings.
test("an entry host retries a call with what calls to its service have earned", async () => {
  const now = monotonicMilliseconds();
  const retries = new RetryBudgets({
    bound: { ratio: 0.16, slack: 100, windowMilliseconds: 10_000 },
    countHosts: () => undefined,
    now,
  });
  for (let index = 0; index < OTHER_CALLS; index += 1) {
    retries.countRequest("large", now, now);
  }
  assert.deepEqual(await countAttempts("small", retries), {
    attempts: 1,
    refused: {
      service: "small",
      reason: "no-retry-left",
      retriesLeft: 0,
      sends: 1,
    },
  });
  const large = await countAttempts("large", retries);
  assert.deepEqual(large, { attempts: SERVERS, refused: undefined });
});
