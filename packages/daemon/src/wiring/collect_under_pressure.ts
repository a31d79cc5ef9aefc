import { CollectionClock } from "@teaselrouter/core/callers/collection_clock.ts";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;

/**
 * Collects garbage when a `CollectionClock` says so, until the returned function
 * is called.
 */
export function collectUnderPressure(memoryBytes: number): () => void {
  const clock = new CollectionClock(memoryBytes);
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const timer = setInterval(() => {
    const resident = process.memoryUsage.rss();
    if (clock.isDue(resident, monotonicMilliseconds())) collect();
  }, CHECK_INTERVAL_MILLISECONDS);
  timer.unref();
  return () => clearInterval(timer);
}
