import type { RequestFacts } from "@teaselrouter/core/gateway/request_facts.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import type { ServiceDefinition } from "@teaselrouter/core/gateway/service_definition.ts";
import type { Buffer } from "node:buffer";

/** A request that was checked and is to be placed. */
export type AdmittedCall = {
  id: string;
  facts: RequestFacts;
  route: Route;
  service: ServiceDefinition;
  workspace: string | undefined;
  /** Rank in backend servers' queues, 0 first to 9, while it is in time. */
  rank: number;
  /** What its client spent on earlier tries, milliseconds. */
  spentBefore: number;
  /** Monotonic milliseconds: an answer, or its first event, is late then. */
  lateAt: number;
  method: string;
  path: string;
  rawHeaders: string[];
  body: Buffer | undefined;
  /** Monotonic milliseconds: when its head was read, and when it is given up. */
  startedAt: number;
  endsAt: number;
};
