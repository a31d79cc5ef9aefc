import type { ServiceDefinition } from "./service_definition.ts";

/** What is published of a service's model engines. */
export type EngineDefinition = NonNullable<ServiceDefinition["engine"]>;
