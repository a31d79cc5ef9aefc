import type { Route } from "./route.ts";

/**
 * Chooses one of a route's target services with a probability in proportion to
 * its weight.
 *
 * @param random uniform in [0, 1).
 */
export function pickTarget(route: Route, random: number): string {
  const totalWeight = route.targets.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  let remaining = random * totalWeight;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)!.service;
}
