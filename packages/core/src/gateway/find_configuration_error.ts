import type { RoutingConfiguration } from "./routing_configuration.ts";

type Fault = { field: string; detail: string };

/**
 * Why a configuration can't be taken as a whole; undefined for a sound one.
 * Nothing of a faulty configuration is used.
 */
export function findConfigurationFault(
  configuration: RoutingConfiguration,
): Fault | undefined {
  return findTargetFault(configuration) ?? findPlaceFault(configuration) ??
    findKeyFault(configuration);
}

function findTargetFault(
  { routes, services }: RoutingConfiguration,
): Fault | undefined {
  const known = new Set(services.map((service) => service.name));
  for (const route of routes) {
    const unknown = route.targets.find(({ service }) => !known.has(service));
    if (unknown !== undefined) {
      return {
        field: route.name,
        detail: `service "${unknown.service}" is not defined`,
      };
    }
    if (route.targets.every(({ weight }) => weight === 0)) {
      return { field: route.name, detail: "the weights add up to 0" };
    }
  }
  return undefined;
}

function findPlaceFault(
  { routes }: RoutingConfiguration,
): Fault | undefined {
  const places = new Set<string>();
  for (const route of routes) {
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) {
      return {
        field: route.name,
        detail: "another route has the same host and path prefix",
      };
    }
    places.add(place);
  }
  return undefined;
}

function findKeyFault(
  { workspaces }: RoutingConfiguration,
): Fault | undefined {
  const owners = new Map<string, string>();
  for (const workspace of workspaces) {
    for (const key of workspace.keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== workspace.name) {
        return {
          field: workspace.name,
          detail: `a key is also that of workspace "${owner}"`,
        };
      }
      owners.set(key, workspace.name);
    }
  }
  return undefined;
}
