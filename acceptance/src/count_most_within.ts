/**
 * Counts the moments in the fullest time window of the given length. `moments`
 * must be in ascending order.
 */
export function countMostWithin(
  moments: number[],
  windowMilliseconds: number,
): number {
  let start = 0;
  let maxCount = 0;
  for (const [index, moment] of moments.entries()) {
    while (moment - moments[start]! > windowMilliseconds) start += 1;
    maxCount = Math.max(maxCount, index - start + 1);
  }
  return maxCount;
}
