import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import type { Result } from "true-myth";

/** Reads an operator's document; the error says what is wrong with it. */
export type RoutingDecoder = (
  document: string,
) => Result<RoutingConfiguration, string>;
