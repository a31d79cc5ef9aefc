import type { Route } from "./route.ts";

/** Draws one of a route's services by weight; `random` is in [0, 1). */
export function pickTarget(route: Route, random: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)!.service;
}
