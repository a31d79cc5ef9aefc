/** Most of the moments, in rising order, that lie in any span so long. */
export function mostWithin(moments: number[], milliseconds: number): number {
  let first = 0;
  let most = 0;
  for (const [index, moment] of moments.entries()) {
    while (moment - moments[first]! > milliseconds) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}
