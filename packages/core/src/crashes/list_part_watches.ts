import { parsePartNames } from "./parse_part_names.ts";
import type { PartWatch } from "./part_watch.ts";
import type { Suspect } from "./suspect.ts";

type Options = {
  /** Suspected prompt parts. */
  suspects: Suspect[];
  /** Blamed prompt parts, with the time of the latest crash. */
  blamed: { part: string; lastCrashAt: number }[];
  /** Least number of crashes of a part that is not blamed. */
  minCrashes: number;
};

/**
 * Lists the prompt parts of which good ends count: blamed ones, then
 * suspected ones, those with most evidence first.
 */
export function listPartWatches(
  { suspects, blamed, minCrashes }: Options,
): PartWatch[] {
  const ofBlamed = blamed.map(({ part, lastCrashAt }) => ({
    part,
    since: lastCrashAt,
  }));
  const ofSuspects = suspects
    .map(({ name, evidence }) => ({
      name,
      evidence,
      crashes: evidence.watchedCrashes,
    }))
    .filter(({ crashes }) => crashes >= minCrashes)
    .sort((left, right) => right.crashes - left.crashes)
    .map(({ name, evidence }) => ({
      part: parsePartNames(name)![0]!,
      since: evidence.firstWatchedAt,
    }));
  return [...ofBlamed, ...ofSuspects];
}
