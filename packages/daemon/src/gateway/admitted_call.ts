import type { RequestMetadata } from "@teaselrouter/core/gateway/request_metadata.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import type { ServiceDefinition } from "@teaselrouter/core/gateway/service_definition.ts";
import type { Buffer } from "node:buffer";

/** A request that was checked and is to be routed. */
export type AdmittedCall = {
  id: string;
  /** Version of the configuration that the request is handled by. */
  configurationVersion: number;
  metadata: RequestMetadata;
  route: Route;
  service: ServiceDefinition;
  workspace: string | undefined;
  /** See `PlacedRequest`. */
  permittedRegions?: ReadonlySet<string> | undefined;
  /** See `UrgencyLevels`; 0 is the most urgent. */
  urgency: number;
  /**
   * Rank in backend servers' queues while the request is in time, 0 (first) to
   * 9.
   */
  rank: number;
  /** Time that the client spent on its earlier attempts; 0 for the first. */
  spentBeforeMilliseconds: number;
  /**
   * When an answer, or a stream's first event, becomes late, monotonic
   * milliseconds.
   */
  lateAt: number;
  method: string;
  path: string;
  rawHeaders: string[];
  body: Buffer | undefined;
  /** When the request's head was read, monotonic milliseconds. */
  startedAt: number;
  /** When the request is given up, monotonic milliseconds. */
  deadlineAt: number;
};
