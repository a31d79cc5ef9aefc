/**
 * The data centre that draws a chunk from the origin, by every coordinator's
 * count the same. Chunks are dealt out in turn: hashing gave one of three
 * data centres 28 of 64 chunks, and its link to the others held up the rest.
 * The chunks of one that is away are dealt out among those left.
 */
export function drawingDataCentre(
  chunk: number,
  options: { known: string[]; live: string[] },
): string {
  const { known, live } = options;
  const first = known[chunk % known.length]!;
  if (live.includes(first)) return first;
  const turn = Math.floor(chunk / known.length);
  return live[turn % live.length]!;
}
