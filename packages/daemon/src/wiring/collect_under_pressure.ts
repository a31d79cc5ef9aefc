import { CollectionClock } from "@teaselrouter/core/callers/collection_clock.ts";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
/** By how much the heap may grow until the runtime collects by itself. */
const PRESSING_GROWTH_PERCENT = 25;
/** Leaves it to the runtime. */
const USUAL_GROWTH_PERCENT = 0;

/**
 * Collects garbage when a `CollectionClock` says so, until the returned function
 * is called. While memory presses the runtime lets the heap grow by little: what
 * it has grown to is hardly given back.
 */
export function collectUnderPressure(memoryBytes: number): () => void {
  const clock = new CollectionClock(memoryBytes);
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  let wasPressing = false;
  const timer = setInterval(() => {
    const resident = process.memoryUsage.rss();
    const isPressing = clock.isPressing(resident);
    if (isPressing !== wasPressing) {
      wasPressing = isPressing;
      const growth = isPressing
        ? PRESSING_GROWTH_PERCENT
        : USUAL_GROWTH_PERCENT;
      setFlagsFromString(`--heap-growing-percent=${growth}`);
    }
    if (clock.isDue(resident, monotonicMilliseconds())) collect();
  }, CHECK_INTERVAL_MILLISECONDS);
  timer.unref();
  return () => clearInterval(timer);
}
