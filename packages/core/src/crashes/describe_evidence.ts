import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { Suspect } from "./suspect.ts";

/**
 * The suspects with most evidence, for a log: each one's weight, how many of its
 * crashes count, and of those known at several what holds a blame back.
 */
export function describeEvidence(
  suspects: Suspect[],
  { limit, findHold }: {
    limit: number;
    findHold: (suspect: Suspect) => string | undefined;
  },
): string[] {
  return suspects
    .map((suspect) => ({ ...suspect, weight: suspect.evidence.weight }))
    .sort((left, right) =>
      right.weight - left.weight ||
      right.evidence.knownCrashes - left.evidence.knownCrashes
    )
    .slice(0, limit)
    .map(({ name, evidence, weight }) => {
      const { incarnations, knownCrashes } = evidence;
      const hold = knownCrashes >= CRASHES_TO_BLAME
        ? `:${findHold({ name, evidence }) ?? "enough"}`
        : "";
      return `${name}=${weight}/${incarnations.length}of${knownCrashes}${hold}`;
    });
}
