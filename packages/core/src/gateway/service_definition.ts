import type { RoutingConfiguration } from "./routing_configuration.ts";

/** One service of a routing configuration. */
export type ServiceDefinition = RoutingConfiguration["services"][number];
