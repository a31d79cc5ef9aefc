/** Two-sided 95% of a normal distribution; seeds are twenty or so. */
const DEVIATIONS = 1.96;

/** Mean difference of two rows of figures on the same seeds, and half its 95% interval. */
export function differenceOf(
  left: number[],
  right: number[],
): { mean: number; half: number } {
  const differences = left.map((value, index) => value - right[index]!);
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const squares = differences.reduce(
    (sum, value) => sum + (value - mean) ** 2,
    0,
  );
  const deviation = count > 1 ? Math.sqrt(squares / (count - 1)) : 0;
  return { mean, half: DEVIATIONS * deviation / Math.sqrt(count) };
}
