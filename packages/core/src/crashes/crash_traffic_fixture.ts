import { createSeededRandom } from "../random/create_seeded_random.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashReport } from "./crash_report.ts";
import type { Survival } from "./survival.ts";

const STEP_MILLISECONDS = 5;
const DECISION_DELAY_MILLISECONDS = 120;
const SURVIVAL_CHECK_MILLISECONDS = 50;
const REPORT_DELAY = { least: 40, most: 110 };
const LOST_SHARE = 0.05;
const DOUBLED_SHARE = 0.1;

type Random = () => number;
type DrawParts = (random: Random) => string[];
type Range = { least: number; most: number };

type HarmfulKind = {
  perSecond: number;
  drawParts: DrawParts;
  /** Whether all are one request that is sent again; its parts do no harm. */
  isRepeated?: boolean;
};

export type CrashTraffic = {
  seed: number;
  servers: number;
  harmlessPerSecond: number;
  drawHarmless: DrawParts;
  lifetime: Range;
  /** Each kind comes this often; its parts crash what runs them. */
  harmful: HarmfulKind[];
  /** From an answer's start to the crash, milliseconds. */
  crashDelay: Range;
  restartMilliseconds: number;
  /** Crashes that no request causes. */
  failures?: { at: number; count: number }[];
  milliseconds: number;
};

type Request = {
  fingerprint: string;
  parts: string[];
  /** Index of its kind; undefined for a harmless one. */
  kind: number | undefined;
  begunAt: number;
  endsAt: number;
};
type Server = { starts: number; upAt: number; running: Request[] };
type Delivery = { at: number; deliver: (now: number) => void };

export type CrashTrafficResult = {
  /** Crashes by each kind of harmful requests, milliseconds. */
  crashes: number[][];
  /** When harmful requests of each kind arrived at a server. */
  arrivals: number[][];
  harmless: { at: number; isRefused: boolean }[];
  blames: string[];
};

/**
 * Feeds a ledger with the crash reports and surviving answers of servers that
 * run many requests at once. Reports come late, in another order, twice or not
 * at all; a request is refused where the ledger says so.
 */
export function runCrashTraffic(traffic: CrashTraffic): CrashTrafficResult {
  const random = createSeededRandom(traffic.seed);
  const between = ({ least, most }: Range) => least + random() * (most - least);
  const ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
  const servers: Server[] = Array.from(
    { length: traffic.servers },
    () => ({ starts: 0, upAt: 0, running: [] }),
  );
  const result: CrashTrafficResult = {
    crashes: traffic.harmful.map(() => []),
    arrivals: traffic.harmful.map(() => []),
    harmless: [],
    blames: [],
  };
  let deliveries: Delivery[] = [];
  let count = 0;

  const deliverLater = (now: number, deliver: (now: number) => void) =>
    deliveries.push({ at: now + between(REPORT_DELAY), deliver });

  const crash = (server: Server, now: number) => {
    const interrupted = server.running;
    const incarnation = `${servers.indexOf(server)}@${server.starts}`;
    server.starts += 1;
    server.upAt = now + traffic.restartMilliseconds;
    server.running = [];
    for (const { fingerprint, parts, kind, begunAt } of interrupted) {
      const report: CrashReport = {
        fingerprint,
        parts,
        incarnation,
        begunMilliseconds: now - begunAt,
        crashedAt: now,
      };
      if (kind === undefined && random() < LOST_SHARE) continue;
      const copies = random() < DOUBLED_SHARE ? 2 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        deliverLater(now, (later) => void ledger.recordReport(report, later));
      }
    }
  };

  const send = (now: number, kind: number | undefined) => {
    count += 1;
    const draw = kind === undefined
      ? traffic.drawHarmless
      : traffic.harmful[kind]!.drawParts;
    const parts = draw(random);
    const isRepeated = kind !== undefined && traffic.harmful[kind]!.isRepeated;
    const fingerprint = isRepeated ? `repeated-${kind}` : `request-${count}`;
    const isRefused = ledger.checkBlame(fingerprint, now, parts) !== undefined;
    if (kind === undefined) result.harmless.push({ at: now, isRefused });
    if (isRefused) return;
    const up = servers.filter(({ upAt }) => upAt <= now);
    const server = up[Math.floor(random() * up.length)];
    if (server === undefined) return;
    if (kind !== undefined) result.arrivals[kind]!.push(now);
    const lives = between(
      kind === undefined ? traffic.lifetime : traffic.crashDelay,
    );
    const endsAt = now + lives;
    server.running.push({ fingerprint, parts, kind, begunAt: now, endsAt });
  };

  const findSurvivals = (now: number, isComplete: boolean, of: Request[]) => {
    for (const { parts, begunAt } of of) {
      for (const part of parts) {
        const survival: Survival = {
          part,
          begunAt,
          livedMilliseconds: now - begunAt,
          isComplete,
        };
        deliverLater(now, () => void ledger.recordSurvival(survival));
      }
    }
  };

  for (let now = 0; now < traffic.milliseconds; now += STEP_MILLISECONDS) {
    const share = STEP_MILLISECONDS / 1_000;
    if (random() < traffic.harmlessPerSecond * share) send(now, undefined);
    for (const [kind, { perSecond }] of traffic.harmful.entries()) {
      if (random() < perSecond * share) send(now, kind);
    }
    for (const server of servers) {
      const harmful = server.running.find(({ kind, endsAt }) =>
        kind !== undefined && endsAt <= now
      );
      if (harmful !== undefined) {
        result.crashes[harmful.kind!]!.push(now);
        crash(server, now);
        continue;
      }
      const ended = server.running.filter(({ endsAt }) => endsAt <= now);
      server.running = server.running.filter(({ endsAt }) => endsAt > now);
      if (ledger.hasSuspectedParts) findSurvivals(now, true, ended);
    }
    for (const { at, count: failing } of traffic.failures ?? []) {
      if (at !== now) continue;
      const up = servers.filter(({ upAt }) => upAt <= now);
      for (const server of up.slice(0, failing)) crash(server, now);
    }
    if (ledger.hasSuspectedParts && now % SURVIVAL_CHECK_MILLISECONDS === 0) {
      findSurvivals(
        now,
        false,
        servers.flatMap(({ running }) => running)
          .filter(({ kind }) => kind === undefined),
      );
    }
    const due = deliveries.filter(({ at }) => at <= now);
    deliveries = deliveries.filter(({ at }) => at > now);
    for (const { deliver } of due) deliver(now);
    for (const { fingerprint } of ledger.blameSuspects(now)) {
      result.blames.push(fingerprint);
    }
  }
  return result;
}
