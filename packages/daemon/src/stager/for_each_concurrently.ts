/** Works on all values, on at most so many at once; ends when all are done. */
export async function forEachAtOnce<Value>(
  values: Value[],
  most: number,
  work: (value: Value) => Promise<void>,
): Promise<void> {
  const left = values.values();
  const workers = Array.from({ length: most }, async () => {
    for (const value of left) await work(value);
  });
  await Promise.all(workers);
}
