import { isHostAddress } from "../membership/is_host_address.ts";
import type { RoutingConfiguration } from "./routing_configuration.ts";

type Fault = { field: string; detail: string };

/**
 * Finds a reason to reject a configuration; undefined for a valid one. An
 * invalid configuration is rejected as a whole.
 */
export function findConfigurationError(
  configuration: RoutingConfiguration,
): Fault | undefined {
  return findTargetFault(configuration) ??
    findDuplicateRouteFault(configuration) ??
    findDuplicateKeyFault(configuration) ??
    findStoreFault(configuration);
}

function findTargetFault(
  { routes, services }: RoutingConfiguration,
): Fault | undefined {
  const serviceNames = new Set(services.map((service) => service.name));
  for (const route of routes) {
    const undefinedTarget = route.targets.find(({ service }) =>
      !serviceNames.has(service)
    );
    if (undefinedTarget !== undefined) {
      return {
        field: route.name,
        detail: `service "${undefinedTarget.service}" is not defined`,
      };
    }
    if (route.targets.every(({ weight }) => weight === 0)) {
      return { field: route.name, detail: "the weights add up to 0" };
    }
  }
  return undefined;
}

function findStoreFault(
  { services }: RoutingConfiguration,
): Fault | undefined {
  const odd = services.find(({ weightStore }) =>
    weightStore !== undefined && !isHostAddress(weightStore.address)
  );
  return odd && { field: odd.name, detail: "its origin can't be an address" };
}

function findDuplicateRouteFault(
  { routes }: RoutingConfiguration,
): Fault | undefined {
  const routeKeys = new Set<string>();
  for (const route of routes) {
    const routeKey = `${route.host} ${route.pathPrefix}`;
    if (routeKeys.has(routeKey)) {
      return {
        field: route.name,
        detail: "another route has the same host and path prefix",
      };
    }
    routeKeys.add(routeKey);
  }
  return undefined;
}

function findDuplicateKeyFault(
  { workspaces }: RoutingConfiguration,
): Fault | undefined {
  const workspaceByKey = new Map<string, (typeof workspaces)[number]>();
  for (const workspace of workspaces) {
    for (const key of workspace.keys) {
      const other = workspaceByKey.get(key);
      if (other !== undefined && other !== workspace) {
        return {
          field: workspace.name,
          detail: `a key is also that of workspace "${other.name}"`,
        };
      }
      workspaceByKey.set(key, workspace);
    }
  }
  return undefined;
}
