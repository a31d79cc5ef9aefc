import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { PartVerdict } from "./part_verdict.ts";
import type { Suspect } from "./suspect.ts";

/**
 * The suspects with most evidence, for a log: each one's weight, how many of its
 * crashes count, and of a part known at several how likely it would be so if it
 * harmed nobody.
 */
export function describeEvidence(
  suspects: Suspect[],
  { limit, judge }: {
    limit: number;
    judge: (suspect: Suspect) => PartVerdict;
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
      const { incarnations, knownCrashes, kind } = evidence;
      const isJudged = kind === "part" && knownCrashes >= CRASHES_TO_BLAME;
      const likelihood = isJudged
        ? `:${judge({ name, evidence }).likelihood.toExponential(1)}`
        : "";
      return `${name}=${weight}/${incarnations.length}of${knownCrashes}${likelihood}`;
    });
}
