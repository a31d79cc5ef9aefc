import { LRUCache } from "lru-cache";
import type { BackendServerRow } from "./backend_server_row.ts";
import { predictWait } from "./predict_wait.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

const SAMPLE = 4;
const REMEMBERED_PREFIXES = 4_096;
const CACHED_PREFIX_WORTH_MILLISECONDS = 20;

type Options = {
  random: () => number;
  /** Own data centre: others cost the crossing. */
  dataCentre: string;
  crossingMilliseconds: number;
};

/**
 * Least predicted wait among a few picked at random, so that entry hosts
 * with the same late reports do not all run to the same backend server. A
 * remembered prefix is a hint: worth some milliseconds, never a reason to
 * wait for longer.
 */
export class PredictedWaitPolicy implements RoutingPolicy {
  #options: Options;
  #prefixes = new LRUCache<string, string>({ max: REMEMBERED_PREFIXES });

  constructor(options: Options) {
    this.#options = options;
  }

  choose(
    candidates: BackendServerRow[],
    call: { prefix: string; now: number },
  ): BackendServerRow | undefined {
    const remembered = this.#prefixes.get(call.prefix);
    const sample = this.#sample(candidates, remembered);
    let best: BackendServerRow | undefined;
    let bestCost = Infinity;
    for (const row of sample) {
      const cost = this.#cost(row, call.now, remembered);
      if (cost < bestCost) [best, bestCost] = [row, cost];
    }
    if (best !== undefined) this.#prefixes.set(call.prefix, best.backendServer);
    return best;
  }

  #sample(
    candidates: BackendServerRow[],
    remembered: string | undefined,
  ): BackendServerRow[] {
    const { dataCentre, random } = this.#options;
    const near = candidates.filter((row) => row.dataCentre === dataCentre);
    const far = candidates.filter((row) => row.dataCentre !== dataCentre);
    const picked = candidates.filter((row) => row.backendServer === remembered);
    for (const group of [near, far]) {
      for (let count = 0; count < SAMPLE && group.length > 0; count += 1) {
        const index = Math.floor(random() * group.length);
        picked.push(...group.splice(index, 1));
      }
    }
    return picked;
  }

  #cost(
    row: BackendServerRow,
    now: number,
    remembered: string | undefined,
  ): number {
    const crossing = row.dataCentre === this.#options.dataCentre
      ? 0
      : this.#options.crossingMilliseconds;
    const cached = row.backendServer === remembered
      ? CACHED_PREFIX_WORTH_MILLISECONDS
      : 0;
    const fullness = row.ownInFlight / row.slots;
    return predictWait(row, now) + crossing + fullness - cached;
  }
}
