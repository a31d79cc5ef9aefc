import type { ServiceDefinition } from "./service_definition.ts";

/** Published properties of a service's model engines. */
export type EngineDefinition = NonNullable<ServiceDefinition["engine"]>;
