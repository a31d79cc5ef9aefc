import type { BackendServerRow } from "./backend_server_row.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

/** Baseline for experiments: each candidate in turn, regardless of load. */
export class RoundRobinPolicy implements RoutingPolicy {
  #next = 0;

  choose(candidates: BackendServerRow[]): BackendServerRow | undefined {
    this.#next += 1;
    return candidates[this.#next % Math.max(1, candidates.length)];
  }
}
