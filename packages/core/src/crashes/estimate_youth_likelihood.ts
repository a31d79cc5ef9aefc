/** More would rest on ages alone, and all requests of a new part are young. */
const MIN_LIKELIHOOD = 1e-3;

/**
 * How likely the requests of a part that harms nobody would be so young among all
 * in flight at its crashes, by the normal approximation to a sum of uniform
 * positions; at most 1. Load pattern: what crashes its server does so before many
 * requests come there, most of the time.
 */
export function estimateYouthLikelihood(positions: readonly number[]): number {
  if (positions.length === 0) return 1;
  const mean = positions.reduce((sum, each) => sum + each, 0) /
    positions.length;
  const below = Math.max(0, 1 / 2 - mean);
  const likelihood = Math.exp(-6 * positions.length * below ** 2);
  return Math.max(MIN_LIKELIHOOD, likelihood);
}
