import type { Route } from "./route.ts";
import type { RoutingConfiguration } from "./routing_configuration.ts";
import type { ServiceDefinition } from "./service_definition.ts";

type Workspace = RoutingConfiguration["workspaces"][number];

/** A configuration indexed for looking up requests. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  /** By host; longest path prefix first. */
  #routes = new Map<string, Route[]>();
  #services = new Map<string, ServiceDefinition>();
  #workspaces = new Map<string, Workspace>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
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

  /** The route of a request; `path` may carry a query. */
  match(host: string, path: string): Route | undefined {
    const end = path.indexOf("?");
    const plain = end < 0 ? path : path.slice(0, end);
    return this.#routes.get(host)?.find((route) =>
      plain.startsWith(route.pathPrefix)
    );
  }

  service(name: string): ServiceDefinition | undefined {
    return this.#services.get(name);
  }

  /** Whether requests on this route have to show a workspace's key. */
  needsKey(route: Route): boolean {
    return route.needsKey && this.configuration.workspaces.length > 0;
  }

  workspaceOf(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }
}
