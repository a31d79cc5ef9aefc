import type { RoutingConfiguration } from "./routing_configuration.ts";

/** One route of a routing configuration. */
export type Route = RoutingConfiguration["routes"][number];
