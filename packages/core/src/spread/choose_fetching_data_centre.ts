/**
 * Chooses the data centre that fetches a chunk from the origin. Coordinators
 * that know the same data centres choose the same one. Chunks are assigned
 * round-robin, because assignment by hashing gave one of three
 * data centres 28 of 64 chunks, and its link to the others held up the rest.
 * Chunks of a data centre that isn't live are reassigned among the live ones.
 */
export function chooseFetchingDataCentre(
  chunk: number,
  options: { known: string[]; live: string[] },
): string {
  const { known, live } = options;
  const first = known[chunk % known.length]!;
  if (live.includes(first)) return first;
  const round = Math.floor(chunk / known.length);
  return live[round % live.length]!;
}
