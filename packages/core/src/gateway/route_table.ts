import { UrgencyLevels } from "../room/urgency_levels.ts";
import type { Route } from "./route.ts";
import type { RoutingConfiguration } from "./routing_configuration.ts";
import type { ServiceDefinition } from "./service_definition.ts";

type Workspace = RoutingConfiguration["workspaces"][number];

/** Indexes a routing configuration for lookups by request. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  readonly urgencies: UrgencyLevels;
  /** Routes by host name, with the longest path prefix first. */
  #routes = new Map<string, Route[]>();
  #services = new Map<string, ServiceDefinition>();
  /** Workspaces by key. */
  #workspaces = new Map<string, Workspace>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.urgencies = new UrgencyLevels(configuration);
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host);
      if (routes === undefined) this.#routes.set(route.host, [route]);
      else routes.push(route);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of configuration.workspaces) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
  }

  /**
   * Finds the route with the longest matching path prefix; undefined if none
   * matches.
   *
   * @param path may include a query, which is ignored.
   */
  match(host: string, path: string): Route | undefined {
    const queryStart = path.indexOf("?");
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    return this.#routes.get(host)?.find((route) =>
      pathname.startsWith(route.pathPrefix)
    );
  }

  findService(name: string): ServiceDefinition | undefined {
    return this.#services.get(name);
  }

  /** Whether requests to this route must present a workspace's key. */
  needsKey(route: Route): boolean {
    return route.needsKey && this.configuration.workspaces.length > 0;
  }

  /** Finds the workspace that owns a key; undefined if none does. */
  findWorkspaceByKey(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }
}
