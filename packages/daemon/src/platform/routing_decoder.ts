import type { RoutingConfiguration } from "@teaselrouter/core/gateway/routing_configuration.ts";
import type { Result } from "true-myth";

/**
 * Decodes an operator's routing configuration; the error says what is wrong
 * with the document.
 */
export type RoutingDecoder = (
  document: string,
) => Result<RoutingConfiguration, string>;
