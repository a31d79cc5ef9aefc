/**
 * Regions that a route and its workspace both allow; undefined if neither is
 * bound. A list that is empty or missing binds nothing.
 */
export function intersectRegions(
  ofRoute: readonly string[] | undefined,
  ofWorkspace: readonly string[] | undefined,
): ReadonlySet<string> | undefined {
  const [first, second] = [ofRoute, ofWorkspace].filter((regions) =>
    regions !== undefined && regions.length > 0
  );
  if (first === undefined) return undefined;
  return new Set(first.filter((region) => second?.includes(region) ?? true));
}
