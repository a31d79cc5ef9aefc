import { CollectionClock } from "@teaselrouter/core/callers/collection_clock.ts";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
/** How much the heap may grow until the runtime collects by itself, in percent. */
const PRESSING_GROWTH = 25;
/** The runtime's own choice, which is to double the heap or more. */
const USUAL_GROWTH = 0;

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
      const growth = isPressing ? PRESSING_GROWTH : USUAL_GROWTH;
      setFlagsFromString(`--heap-growing-percent=${growth}`);
    }
    if (clock.isDue(resident, monotonicMilliseconds())) collect();
  }, CHECK_INTERVAL_MILLISECONDS);
  timer.unref();
  return () => clearInterval(timer);
}
