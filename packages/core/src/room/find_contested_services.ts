import type { RoutingConfiguration } from "../gateway/routing_configuration.ts";

/** Services that routes of more than one priority target. */
export function findContestedServices(
  { routes }: Pick<RoutingConfiguration, "routes">,
): ReadonlySet<string> {
  const priorities = new Map<string, Set<number>>();
  for (const { priority, targets } of routes) {
    for (const { service } of targets) {
      const known = priorities.get(service);
      if (known === undefined) priorities.set(service, new Set([priority]));
      else known.add(priority);
    }
  }
  return new Set(
    [...priorities].filter(([, values]) => values.size > 1)
      .map(([service]) => service),
  );
}
