import type { Route } from "../gateway/route.ts";
import type { RoutingConfiguration } from "../gateway/routing_configuration.ts";
import { findContestedServices } from "./find_contested_services.ts";

type Configuration = Pick<RoutingConfiguration, "routes" | "workspaces">;

/**
 * How urgent requests are; 0 is the most urgent. A workspace's own priority goes
 * before its route's. Where routes of several priorities target a service, the
 * route's decides among requests of equal workspace priority: then urgencies are
 * numbered from 0 in this order.
 */
export class UrgencyLevels {
  /** Services that routes of more than one priority target. */
  readonly contestedServices: ReadonlySet<string>;
  /** Pairs of priorities of contested services, the most urgent first. */
  #levels: readonly string[];

  constructor(configuration: Configuration) {
    this.contestedServices = findContestedServices(configuration);
    this.#levels = listLevels(configuration, this.contestedServices);
  }

  /** @param workspacePriority undefined if the workspace has none of its own. */
  find(
    route: Pick<Route, "priority" | "targets">,
    workspacePriority: number | undefined,
  ): number {
    const first = workspacePriority ?? route.priority;
    const isContested = route.targets.some(({ service }) =>
      this.contestedServices.has(service)
    );
    if (!isContested) return first;
    return this.#levels.indexOf(toKey(first, route.priority));
  }
}

function listLevels(
  { routes, workspaces }: Configuration,
  contestedServices: ReadonlySet<string>,
): string[] {
  const ownPriorities = [
    undefined,
    ...workspaces.map(({ priority }) => priority),
  ];
  const pairs = new Map<string, [number, number]>();
  for (const { priority, targets } of routes) {
    if (!targets.some(({ service }) => contestedServices.has(service))) {
      continue;
    }
    for (const own of new Set(ownPriorities)) {
      const first = own ?? priority;
      pairs.set(toKey(first, priority), [first, priority]);
    }
  }
  return [...pairs]
    .sort(([, left], [, right]) => left[0] - right[0] || left[1] - right[1])
    .map(([key]) => key);
}

function toKey(first: number, second: number): string {
  return `${first}/${second}`;
}
