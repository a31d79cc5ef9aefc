import { pause } from "@teaselrouter/daemon/transport/pause.ts";

const POLL_MILLISECONDS = 50;

/** Waits until `check` holds; says whether it did within the time. */
export async function waitUntil(
  check: () => Promise<boolean> | boolean,
  milliseconds: number,
): Promise<boolean> {
  const until = Date.now() + milliseconds;
  while (Date.now() < until) {
    if (await check()) return true;
    await pause(POLL_MILLISECONDS);
  }
  return false;
}
