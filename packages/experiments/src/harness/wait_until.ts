import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";

const POLL_MILLISECONDS = 50;

/** Polls `check` every 50 ms. Returns false if it does not hold in time. */
export async function waitUntil(
  check: () => Promise<boolean> | boolean,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (Date.now() < deadline) {
    if (await check()) return true;
    await sleep(POLL_MILLISECONDS);
  }
  return false;
}
