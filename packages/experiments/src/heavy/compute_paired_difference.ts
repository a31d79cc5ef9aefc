/**
 * Quantile of the normal distribution for a two-sided 95% interval. With about
 * twenty seeds the normal distribution is a sufficient approximation.
 */
const NORMAL_QUANTILE = 1.96;

/**
 * Computes the mean difference, `left` minus `right`, between two series of
 * values from the same seeds, and half the width of its 95% confidence interval.
 */
export function computePairedDifference(
  left: number[],
  right: number[],
): { mean: number; halfWidth: number } {
  const differences = left.map((value, index) => value - right[index]!);
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const squaredDeviations = differences.reduce(
    (sum, value) => sum + (value - mean) ** 2,
    0,
  );
  const deviation = count > 1 ? Math.sqrt(squaredDeviations / (count - 1)) : 0;
  return { mean, halfWidth: NORMAL_QUANTILE * deviation / Math.sqrt(count) };
}
