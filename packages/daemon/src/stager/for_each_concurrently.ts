/**
 * Calls `work` for every value, for at most `maxConcurrency` values at a time.
 * Resolves when all calls have resolved, and rejects when one rejects.
 */
export async function forEachConcurrently<Value>(
  values: Value[],
  maxConcurrency: number,
  work: (value: Value) => Promise<void>,
): Promise<void> {
  const remaining = values.values();
  const workers = Array.from({ length: maxConcurrency }, async () => {
    for (const value of remaining) await work(value);
  });
  await Promise.all(workers);
}
