import type * as z from "zod";
import type { routingConfigurationSchema } from "./routing_configuration_schema.ts";

/** A validated routing configuration. */
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>;
