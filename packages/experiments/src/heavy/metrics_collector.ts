import { build } from "hdr-histogram-js";
import type { FleetMetrics } from "./fleet_metrics.ts";
import type { OutcomeCounts } from "./outcome_counts.ts";
import type { ModelledCall } from "./modelled_call.ts";

/** Calls are grouped by start time into windows of this length. */
const WINDOW_MILLISECONDS = 2_000;
const MAX_TRACKED_MILLISECONDS = 60_000;

const LONGEST_SHARE = 0.1;
const SHARE_BELOW = 0.2;

/** Worth earned by calls, and worth if all had been timely. */
type WorthSum = { earned: number; possible: number };

/** Collects the outcomes of all calls of a run and computes its metrics. */
export class MetricsCollector {
  #countedFrom: number;
  #outcomeCounts = { "in-time": 0, late: 0, refused: 0, left: 0 };
  #refusedAgain = 0;
  #interrupted = 0;
  #sends = 0;
  #crossDataCentreSends = 0;
  #totalWorth: WorthSum = { earned: 0, possible: 0 };
  #firstEvents = build({ highestTrackableValue: MAX_TRACKED_MILLISECONDS });
  #worthByWindow = new Map<number, WorthSum>();
  #ends: { answerTokens: number; isServed: boolean }[] = [];
  #worthByKind = new Map<string, WorthSum>();

  #byKind = new Map<string, OutcomeCounts>();
  #byWorkspace = new Map<string, OutcomeCounts>();
  #byKindOfHost = new Map<string, OutcomeCounts>();
  #roomUsed: number[] = [];

  /** @param countedFrom when the first call starts that is counted by kind. */
  constructor({ countedFrom }: { countedFrom: number }) {
    this.#countedFrom = countedFrom;
  }

  /** @param used share of all slots in use, while a call waits. */
  recordRoom(used: number): void {
    this.#roomUsed.push(used);
  }

  recordSend(isCrossDataCentre: boolean): void {
    this.#sends += 1;
    if (isCrossDataCentre) this.#crossDataCentreSends += 1;
  }

  recordEnd(call: ModelledCall): void {
    const { kind, outcome, tries, startedAt, firstEventAt } = call;
    this.#outcomeCounts[outcome!] += 1;
    const counts = [
      getOrCreate(this.#byKind, kind.name, createCounts),
      getOrCreate(this.#byWorkspace, call.workspace, createCounts),
      getOrCreate(
        this.#byKindOfHost,
        `${call.host}/${kind.name}`,
        createCounts,
      ),
    ];
    for (const count of startedAt < this.#countedFrom ? [] : counts) {
      count.calls += 1;
      if (outcome === "in-time") count.timely += 1;
      if (outcome === "in-time" || outcome === "late") count.served += 1;
    }
    if (firstEventAt !== undefined) {
      this.#firstEvents.recordValue(Math.round(firstEventAt - startedAt));
    }
    this.#ends.push({
      answerTokens: call.answerTokens,
      isServed: outcome === "in-time" || outcome === "late",
    });
    const isLateByPause = outcome === "late" &&
      firstEventAt! - startedAt <= kind.target_ms;
    if (isLateByPause) this.#interrupted += 1;
    if (outcome === "refused" && tries > 1) this.#refusedAgain += 1;
    const window = Math.floor(startedAt / WINDOW_MILLISECONDS);
    const earned = outcome === "in-time"
      ? kind.worth
      : outcome === "late"
      ? kind.late_worth
      : 0;
    const sums = [
      this.#totalWorth,
      getOrCreate(this.#worthByWindow, window, createSum),
      getOrCreate(this.#worthByKind, kind.name, createSum),
    ];
    for (const sum of sums) {
      sum.earned += earned;
      sum.possible += kind.worth;
    }
  }

  computeMetrics(): FleetMetrics {
    const { late, refused, left } = this.#outcomeCounts;
    const inTime = this.#outcomeCounts["in-time"];
    const calls = inTime + late + refused + left;
    const shareOfCalls = (count: number) => count / Math.max(1, calls);
    return {
      calls,
      worth: earnedShareOf(this.#totalWorth),
      inTime: shareOfCalls(inTime),
      late: shareOfCalls(late),
      interrupted: shareOfCalls(this.#interrupted),
      refused: shareOfCalls(refused),
      left: shareOfCalls(left),
      refusedAgain: shareOfCalls(this.#refusedAgain),
      firstEventP50: this.#firstEvents.getValueAtPercentile(50),
      firstEventP99: this.#firstEvents.getValueAtPercentile(99),
      worstWindow: Math.min(
        ...[...this.#worthByWindow.values()].map(earnedShareOf),
      ),
      worstKind: Math.min(
        ...[...this.#worthByKind.values()].map(earnedShareOf),
      ),
      roomUsed: this.#roomUsed.length === 0
        ? 1
        : this.#roomUsed.reduce((total, used) => total + used, 0) /
          this.#roomUsed.length,
      byKind: Object.fromEntries(this.#byKind),
      byWorkspace: Object.fromEntries(this.#byWorkspace),
      byKindOfHost: Object.fromEntries(this.#byKindOfHost),
      longestTenthServed: this.#servedShare(0, LONGEST_SHARE),
      fifthBelowServed: this.#servedShare(
        LONGEST_SHARE,
        LONGEST_SHARE + SHARE_BELOW,
      ),
      crossings: this.#crossDataCentreSends / Math.max(1, this.#sends),
    };
  }

  /** Share served of the calls between two shares, the longest answers first. */
  #servedShare(from: number, to: number): number {
    const count = this.#ends.length;
    const ends = this.#ends
      .toSorted((left, right) => right.answerTokens - left.answerTokens)
      .slice(Math.round(from * count), Math.round(to * count));
    const served = ends.filter(({ isServed }) => isServed).length;
    return served / Math.max(1, ends.length);
  }
}

function createCounts(): OutcomeCounts {
  return { calls: 0, timely: 0, served: 0 };
}

function createSum(): WorthSum {
  return { earned: 0, possible: 0 };
}

function getOrCreate<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = values.get(key);
  if (known !== undefined) return known;
  const value = create();
  values.set(key, value);
  return value;
}

function earnedShareOf({ earned, possible }: WorthSum): number {
  return possible === 0 ? 1 : earned / possible;
}
