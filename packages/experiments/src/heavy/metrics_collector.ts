import { build } from "hdr-histogram-js";
import type { FleetFigures } from "./fleet_figures.ts";
import type { ModelledCall } from "./modelled_call.ts";

const WINDOW_MILLISECONDS = 2_000;
const LONGEST_MILLISECONDS = 60_000;

type Sum = { earned: number; owed: number };

/** Counts what becomes of calls. */
export class FleetTally {
  #ends = { "in-time": 0, late: 0, refused: 0, left: 0 };
  #refusedAgain = 0;
  #sends = 0;
  #crossings = 0;
  #all: Sum = { earned: 0, owed: 0 };
  #firstEvents = build({ highestTrackableValue: LONGEST_MILLISECONDS });
  #windows = new Map<number, Sum>();
  #kinds = new Map<string, Sum>();

  noteSend(isCrossing: boolean): void {
    this.#sends += 1;
    if (isCrossing) this.#crossings += 1;
  }

  noteEnd(call: ModelledCall): void {
    const { kind, end, tries, startedAt, firstEventAt } = call;
    this.#ends[end!] += 1;
    if (firstEventAt !== undefined) {
      this.#firstEvents.recordValue(Math.round(firstEventAt - startedAt));
    }
    if (end === "refused" && tries > 1) this.#refusedAgain += 1;
    const window = Math.floor(startedAt / WINDOW_MILLISECONDS);
    const earned = end === "in-time"
      ? kind.worth
      : end === "late"
      ? kind.late_worth
      : 0;
    const sums = [
      this.#all,
      sumOf(this.#windows, window),
      sumOf(this.#kinds, kind.name),
    ];
    for (const sum of sums) {
      sum.earned += earned;
      sum.owed += kind.worth;
    }
  }

  figures(): FleetFigures {
    const { late, refused, left } = this.#ends;
    const inTime = this.#ends["in-time"];
    const calls = inTime + late + refused + left;
    const part = (count: number) => count / Math.max(1, calls);
    return {
      calls,
      worth: shareOf(this.#all),
      inTime: part(inTime),
      late: part(late),
      refused: part(refused),
      left: part(left),
      refusedAgain: part(this.#refusedAgain),
      firstEventP50: this.#firstEvents.getValueAtPercentile(50),
      firstEventP99: this.#firstEvents.getValueAtPercentile(99),
      worstWindow: Math.min(...[...this.#windows.values()].map(shareOf)),
      worstKind: Math.min(...[...this.#kinds.values()].map(shareOf)),
      crossings: this.#crossings / Math.max(1, this.#sends),
    };
  }
}

function sumOf<Key>(sums: Map<Key, Sum>, key: Key): Sum {
  const known = sums.get(key);
  if (known !== undefined) return known;
  const sum = { earned: 0, owed: 0 };
  sums.set(key, sum);
  return sum;
}

function shareOf({ earned, owed }: Sum): number {
  return owed === 0 ? 1 : earned / owed;
}
