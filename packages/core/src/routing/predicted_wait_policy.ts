import { LRUCache } from "lru-cache";
import type { BackendServerRow } from "./backend_server_row.ts";
import { estimateInFlight } from "./estimate_in_flight.ts";
import { predictWait } from "./predict_wait.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

/** Candidates sampled in the own data centre, and as many in all others. */
const SAMPLE_SIZE = 16;
/** A service time above this multiple of the usual one isn't due to chance. */
const SLOW_RATIO = 2;
const DEFAULT_SERVICE_MILLISECONDS = 100;
const MAX_REMEMBERED_PREFIXES = 4_096;
/**
 * Share by which a call is assumed to take longer at a backend server whose
 * slots are all in use.
 */
const UTILIZATION_WEIGHT = 0.5;
const CACHED_PREFIX_BONUS_MILLISECONDS = 20;

type Options = {
  random: () => number;
  /** This entry host's data centre. */
  dataCentre: string;
  /** Cost added to a call to another data centre. */
  crossDataCentreMilliseconds: number;
};

/**
 * Chooses the backend server with the lowest expected time, based on the calls
 * that this entry host itself has in flight there. Delayed load reports and
 * learned service times count only where they are conclusive. A remembered
 * prompt prefix is a hint that the backend server has it cached: worth some
 * milliseconds, never a reason to wait for longer.
 */
export class PredictedWaitPolicy implements RoutingPolicy {
  #options: Options;
  #prefixes = new LRUCache<string, string>({ max: MAX_REMEMBERED_PREFIXES });

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
    const usual = medianServiceMilliseconds(sample);
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
      for (let count = 0; count < SAMPLE_SIZE && group.length > 0; count += 1) {
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
      : this.#options.crossDataCentreMilliseconds;
    const cached = row.backendServer === remembered
      ? CACHED_PREFIX_BONUS_MILLISECONDS
      : 0;
    const utilization = estimateInFlight(row, now) / row.slots;
    // Learned times vary by chance, so only a much longer one is used.
    const learned = row.load.serviceMilliseconds;
    const perCall = learned > SLOW_RATIO * usual ? learned : usual;
    const working = perCall * (1 + UTILIZATION_WEIGHT * utilization);
    return predictWait(row, now) + working + crossing - cached;
  }
}

function medianServiceMilliseconds(rows: BackendServerRow[]): number {
  const times = rows
    .map((row) => row.load.serviceMilliseconds || DEFAULT_SERVICE_MILLISECONDS)
    .sort((left, right) => left - right);
  return times[times.length >> 1] ?? DEFAULT_SERVICE_MILLISECONDS;
}
