import type { ObservedCrash } from "./observed_crash.ts";
import { weighPartCrash } from "./weigh_part_crash.ts";

/**
 * Crashes of one wave count at most this much. When a rack fails, parts that
 * many requests share are in flight at each of its crashes.
 */
const MAX_WAVE_WEIGHT = 2;
/** Longer than backend servers that fail together take to do so. */
const WAVE_MILLISECONDS = 100;
/**
 * Weight of the crashes at which requests with one prompt part were in flight.
 * A new wave begins with a crash under an answer that started after the
 * preceding wave: only then the part has been run again.
 */
export function countPartCrashes(crashes: ObservedCrash[]): number {
  let total = 0;
  let waveAt = -Infinity;
  let waveWeight = 0;
  for (const crash of crashes.toSorted(byTime)) {
    const { at } = crash.scene;
    const begunAt = at - (crash.begunMilliseconds ?? 0);
    if (begunAt > waveAt + WAVE_MILLISECONDS) {
      waveAt = at;
      waveWeight = 0;
    }
    const counted = Math.min(
      weighPartCrash(crash),
      MAX_WAVE_WEIGHT - waveWeight,
    );
    waveWeight += counted;
    total += counted;
  }
  return total;
}

function byTime(left: ObservedCrash, right: ObservedCrash): number {
  return left.scene.at - right.scene.at;
}
