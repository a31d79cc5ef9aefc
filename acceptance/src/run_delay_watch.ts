import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

const INTERVAL_MILLISECONDS = 100;
/** Shorter delays, also many of them, let a process go on in between. */
const MIN_DELAY_MILLISECONDS = 100;
const MIN_SAMPLE_SHARE = 0.8;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Stands for the process of the watch, that of the servers and clients. */
export const LOCAL = "local";

/**
 * Span in which a process could have run and its machine ran others, or in which
 * the watch's own process stood still for whatever reason. Times are from
 * `performance.now()`, milliseconds.
 */
export type RunDelay = { process: string; from: number; to: number };

/**
 * Records when the machine is too busy to run certain processes. What a process
 * does by itself, and the time in which it stands still, are not in it. Records
 * nothing where the system does not tell.
 */
export class RunDelayWatch {
  readonly delays: RunDelay[] = [];
  /** Samples of this process that came late; `to` is when. */
  readonly lateSamples: { to: number; milliseconds: number }[] = [];
  #listProcesses: () => { name: string; pid: number }[];
  #total = new Map<number, number>();
  #sampledAt = performance.now();
  #timer: NodeJS.Timeout | undefined;

  constructor(listProcesses: () => { name: string; pid: number }[]) {
    this.#listProcesses = listProcesses;
  }

  start(): void {
    this.#timer = setInterval(() => this.#sample(), INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const from = this.#sampledAt;
    const to = performance.now();
    this.#sampledAt = to;
    const late = to - from - INTERVAL_MILLISECONDS;
    if (late > 0) this.lateSamples.push({ to, milliseconds: late });
    if (to - from > 2 * INTERVAL_MILLISECONDS) {
      const stalledAt = from + INTERVAL_MILLISECONDS;
      this.delays.push({ process: LOCAL, from: stalledAt, to });
    }
    for (const { name, pid } of this.#listProcesses()) {
      const total = readDelay(pid);
      if (total === undefined) continue;
      const delay = total - (this.#total.get(pid) ?? total);
      this.#total.set(pid, total);
      if (!isOneDelay(delay, to - from)) continue;
      this.delays.push({ process: name, from: to - delay, to });
    }
  }
}

/**
 * Whether a delay of a sample is one long one. A delay is counted when it ends,
 * so that it may be longer than its sample.
 */
function isOneDelay(delay: number, sample: number): boolean {
  return delay > sample + MIN_DELAY_MILLISECONDS ||
    sample >= 2 * MIN_DELAY_MILLISECONDS && delay >= sample * MIN_SAMPLE_SHARE;
}

/** Milliseconds that a process has waited for a processor so far. */
function readDelay(pid: number): number | undefined {
  try {
    const [, delay] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ");
    return Number(delay) / NANOSECONDS_PER_MILLISECOND;
  } catch {
    return undefined;
  }
}
