import { LRUCache } from "lru-cache";
import type { BackendServerRow } from "./backend_server_row.ts";
import { estimateInFlight } from "./estimate_in_flight.ts";
import { predictWait } from "./predict_wait.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

const SAMPLE = 16;
/** Times the usual: slower than this is no chance any more. */
const SLOW_RATIO = 2;
const DEFAULT_SERVICE_MILLISECONDS = 100;
const REMEMBERED_PREFIXES = 4_096;
const FULLNESS_WORTH = 0.5;
const CACHED_PREFIX_WORTH_MILLISECONDS = 20;

type Options = {
  random: () => number;
  /** Own data centre: others cost the crossing. */
  dataCentre: string;
  crossingMilliseconds: number;
};

/**
 * Least expected time, by the calls that this entry host itself has under way
 * there; late reports and learned times count only where they say much. A
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
    const remembered = call.prefix === ""
      ? undefined
      : this.#prefixes.get(call.prefix);
    const sample = this.#sample(candidates, remembered);
    const usual = usualServiceMilliseconds(sample);
    let best: BackendServerRow | undefined;
    let bestCost = Infinity;
    for (const row of sample) {
      const cost = this.#cost(row, { now: call.now, remembered, usual });
      if (cost < bestCost) [best, bestCost] = [row, cost];
    }
    if (best !== undefined && call.prefix !== "") {
      this.#prefixes.set(call.prefix, best.backendServer);
    }
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
    view: { now: number; remembered: string | undefined; usual: number },
  ): number {
    const { now, remembered, usual } = view;
    const crossing = row.dataCentre === this.#options.dataCentre
      ? 0
      : this.#options.crossingMilliseconds;
    const cached = row.backendServer === remembered
      ? CACHED_PREFIX_WORTH_MILLISECONDS
      : 0;
    const fullness = estimateInFlight(row, now) / row.slots;
    // Learned times differ by chance; only a much longer one is believed.
    const learned = row.load.serviceMilliseconds;
    const each = learned > SLOW_RATIO * usual ? learned : usual;
    const working = each * (1 + FULLNESS_WORTH * fullness);
    return predictWait(row, now) + working + crossing - cached;
  }
}

function usualServiceMilliseconds(rows: BackendServerRow[]): number {
  const times = rows
    .map((row) => row.load.serviceMilliseconds || DEFAULT_SERVICE_MILLISECONDS)
    .sort((left, right) => left - right);
  return times[times.length >> 1] ?? DEFAULT_SERVICE_MILLISECONDS;
}
