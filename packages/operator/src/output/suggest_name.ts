const MAX_EDITS = 3;

/** @returns the Levenshtein distance. */
function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitutionCost = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          previous[column]! + 1,
          current[column - 1]! + 1,
          previous[column - 1]! + substitutionCost,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length]!;
}

/**
 * Finds the known name nearest to a mistyped one.
 *
 * @returns undefined if none is within MAX_EDITS edits.
 */
export function suggestName(
  typed: string,
  known: string[],
): string | undefined {
  const ranked = known
    .map((name) => ({ name, edits: editDistance(typed, name) }))
    .sort((left, right) => left.edits - right.edits);
  const best = ranked[0];
  return best !== undefined && best.edits <= MAX_EDITS ? best.name : undefined;
}
