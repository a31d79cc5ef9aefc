import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { Blame } from "./blame.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashTraffic } from "./crash_traffic.ts";
import type { CrashTrafficResult } from "./crash_traffic_result.ts";
import { parsePartNames } from "./parse_part_names.ts";
import type { Survival } from "./survival.ts";

const STEP_MILLISECONDS = 5;
const DECISION_DELAY_MILLISECONDS = 120;
const SURVIVAL_CHECK_MILLISECONDS = 50;
const REPORT_DELAY_MILLISECONDS = { least: 40, most: 110 };
const LOST_SHARE = 0.05;
const DOUBLED_SHARE = 0.1;
/** An answer that is whole after so many times the longest crash harms nobody. */
const LONGEST_MARGIN = 1.5;

type Request = {
  fingerprint: string;
  parts: string[];
  /** Index of its kind; undefined for a harmless one. */
  kind: number | undefined;
  begunAt: number;
  endsAt: number;
  /** Undefined for a harmful request. */
  outcome: CrashTrafficResult["harmless"][number] | undefined;
};
type Server = { starts: number; upAt: number; running: Request[] };
type Delivery = { at: number; deliver: (now: number) => void };

/**
 * Feeds a ledger with the crash reports and surviving answers of servers that
 * run many requests at once. Reports come late, in another order, twice or not
 * at all; a request is refused where the ledger says so.
 */
export class CrashTrafficRun {
  #traffic: CrashTraffic;
  #random: () => number;
  #ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
  #servers: Server[];
  #deliveries: Delivery[] = [];
  #requestCount = 0;
  #lastCrashAt = -Infinity;
  /** By part, when the latest answer started that is known to have survived. */
  #survivedBegunAt = new Map<string, number>();
  #result: CrashTrafficResult;

  constructor(traffic: CrashTraffic) {
    this.#traffic = traffic;
    this.#random = createSeededRandom(traffic.seed);
    this.#servers = Array.from(
      { length: traffic.servers },
      () => ({ starts: 0, upAt: 0, running: [] }),
    );
    this.#result = {
      crashes: traffic.harmful.map(() => []),
      arrivals: traffic.harmful.map(() => []),
      harmless: [],
      blames: [],
    };
  }

  run(): CrashTrafficResult {
    const { milliseconds } = this.#traffic;
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
      this.#sendDue(now);
      for (const server of this.#servers) this.#endAnswers(server, now);
      this.#failServers(now);
      this.#reportRunning(now);
      this.#deliverDue(now);
      for (const { fingerprint } of this.#ledger.blameSuspects(now)) {
        this.#result.blames.push(fingerprint);
      }
    }
    return this.#result;
  }

  #between({ least, most }: { least: number; most: number }): number {
    return least + this.#random() * (most - least);
  }

  #sendDue(now: number): void {
    const { harmlessPerSecond, harmful } = this.#traffic;
    const seconds = STEP_MILLISECONDS / 1_000;
    if (this.#random() < harmlessPerSecond * seconds) {
      this.#send(now, undefined);
    }
    for (const [kind, { perSecond }] of harmful.entries()) {
      if (this.#random() < perSecond * seconds) this.#send(now, kind);
    }
  }

  #send(now: number, kind: number | undefined): void {
    const { harmful, drawHarmless, lifetime, crashDelay } = this.#traffic;
    this.#requestCount += 1;
    const harmfulKind = kind === undefined ? undefined : harmful[kind]!;
    const draw = harmfulKind?.drawParts ?? drawHarmless;
    const parts = draw(this.#random);
    const fingerprint = harmfulKind?.isRepeated
      ? `repeated-${kind}`
      : `request-${this.#requestCount}`;
    const blame = this.#ledger.checkBlame(fingerprint, now, parts);
    const outcome = kind === undefined
      ? this.#recordHarmless(now, parts, blame)
      : undefined;
    if (blame !== undefined) return;
    const up = this.#servers.filter(({ upAt }) => upAt <= now);
    const server = up[Math.floor(this.#random() * up.length)];
    if (server === undefined) return;
    if (kind !== undefined) this.#result.arrivals[kind]!.push(now);
    const endsAt = now +
      this.#between(kind === undefined ? lifetime : crashDelay);
    const begunAt = now;
    server.running.push({ fingerprint, parts, kind, begunAt, endsAt, outcome });
  }

  #recordHarmless(
    now: number,
    parts: string[],
    blame: Blame | undefined,
  ) {
    const blamed = parsePartNames(blame?.fingerprint ?? "") ?? [];
    const outcome = {
      at: now,
      parts,
      isRefused: blame !== undefined,
      isServed: false,
      isRefusedInVain: blamed.some((part) =>
        (this.#survivedBegunAt.get(part) ?? -Infinity) > this.#lastCrashAt
      ),
    };
    this.#result.harmless.push(outcome);
    return outcome;
  }

  #endAnswers(server: Server, now: number): void {
    const isOver = ({ endsAt }: Request) => endsAt <= now;
    const harmful = server.running.find((request) =>
      request.kind !== undefined && isOver(request)
    );
    if (harmful !== undefined) {
      this.#result.crashes[harmful.kind!]!.push(now);
      return this.#crash(server, now);
    }
    const ended = server.running.filter(isOver);
    server.running = server.running.filter((request) => !isOver(request));
    for (const { outcome } of ended) outcome!.isServed = true;
    if (this.#ledger.hasSuspectedParts) this.#reportSurvivals(ended, now, true);
  }

  #crash(server: Server, now: number): void {
    const interrupted = server.running;
    const incarnation = `${this.#servers.indexOf(server)}@${server.starts}`;
    server.starts += 1;
    this.#lastCrashAt = now;
    server.upAt = now + this.#traffic.restartMilliseconds;
    server.running = [];
    const { proofDelay } = this.#traffic;
    const provedAt = proofDelay === undefined
      ? now
      : now + this.#between(proofDelay);
    for (const { fingerprint, parts, kind, begunAt } of interrupted) {
      const report = {
        fingerprint,
        parts,
        incarnation,
        begunMilliseconds: now - begunAt,
        crashedAt: now,
      };
      if (kind === undefined && this.#random() < LOST_SHARE) continue;
      const copies = this.#random() < DOUBLED_SHARE ? 2 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        this.#deliverLater(provedAt, (later) => {
          this.#ledger.recordReport(report, later);
        });
      }
    }
  }

  #failServers(now: number): void {
    for (const { at, count } of this.#traffic.failures ?? []) {
      if (at !== now) continue;
      const up = this.#servers.filter(({ upAt }) => upAt <= now);
      for (const server of up.slice(0, count)) this.#crash(server, now);
    }
  }

  #reportRunning(now: number): void {
    const isDue = now % SURVIVAL_CHECK_MILLISECONDS === 0;
    if (!isDue || !this.#ledger.hasSuspectedParts) return;
    const running = this.#servers.flatMap((server) => server.running)
      .filter(({ kind }) => kind === undefined);
    this.#reportSurvivals(running, now, false);
  }

  #reportSurvivals(
    requests: Request[],
    now: number,
    isComplete: boolean,
  ): void {
    for (const { parts, begunAt } of requests) {
      const livedMilliseconds = now - begunAt;
      for (const part of parts) {
        const survival = { part, begunAt, livedMilliseconds, isComplete };
        this.#deliverLater(now, () => {
          this.#ledger.recordSurvival(survival);
          this.#noteSurvival(survival);
        });
      }
    }
  }

  #noteSurvival({ part, begunAt, livedMilliseconds, isComplete }: Survival) {
    const outlivesAll =
      livedMilliseconds > this.#traffic.crashDelay.most * LONGEST_MARGIN;
    if (!isComplete || !outlivesAll) return;
    const known = this.#survivedBegunAt.get(part) ?? -Infinity;
    this.#survivedBegunAt.set(part, Math.max(known, begunAt));
  }

  #deliverLater(now: number, deliver: Delivery["deliver"]): void {
    const at = now + this.#between(REPORT_DELAY_MILLISECONDS);
    this.#deliveries.push({ at, deliver });
  }

  #deliverDue(now: number): void {
    const due = this.#deliveries.filter(({ at }) => at <= now);
    this.#deliveries = this.#deliveries.filter(({ at }) => at > now);
    for (const { deliver } of due) deliver(now);
  }
}
