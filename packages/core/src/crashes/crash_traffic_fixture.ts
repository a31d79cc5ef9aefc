import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { incarnationOf } from "../membership/incarnation_of.ts";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { Blame } from "./blame.ts";
import type { CrashReport } from "./crash_report.ts";
import type { CrashTraffic } from "./crash_traffic.ts";
import type { CrashTrafficResult } from "./crash_traffic_result.ts";
import { parsePartNames } from "./parse_part_names.ts";
import { runDueEvents } from "./run_due_events_fixture.ts";
import type { GoodEnd } from "./good_end.ts";
import type { TrafficEvent } from "./traffic_event_fixture.ts";
import { TrafficHosts } from "./traffic_hosts_fixture.ts";
import type { TrafficRequest } from "./traffic_request_fixture.ts";

const STEP_MILLISECONDS = 5;
const RUNNING_CHECK_MILLISECONDS = 50;
/** How long an answer has to be written to count as running well. */
const RUNNING_WELL_MILLISECONDS = 200;
const CROWDS_FROM_MILLISECONDS = 1_000;
/** From a loss of power until gateways accept requests again. */
const OUTAGE_MILLISECONDS = 1_500;

type Server = {
  announcement: BackendAnnouncement;
  upAt: number;
  /** In the order of sending; those beyond its slots wait. */
  running: TrafficRequest[];
};

/**
 * Feeds a ledger with the crash reports and good ends of servers that
 * run many requests at once. Reports come late, in another order, twice or not
 * at all; a request is refused where the ledger says so. Callers may leave, or
 * send the same request again, and all hosts may lose power.
 */
export class CrashTrafficRun {
  #traffic: CrashTraffic;
  #random: () => number;
  #hosts: TrafficHosts;
  #servers: Server[];
  #callerEvents: TrafficEvent[] = [];
  #requestCount = 0;
  /** When the next crowd of each kind comes. */
  #crowdAt: number[] = [];
  #lastCrashAt = -Infinity;
  #downUntil = -Infinity;
  /** Kinds of the crashes of which no report has arrived, by incarnation. */
  #unheard = new Map<string, number>();
  /** As `#unheard`, of which no harmful request was reported. */
  #untold = new Map<string, number>();
  #harmfulRequests = new Set<string>();
  /** By part, when the latest request was sent that is known to have ended well. */
  #goodSentAt = new Map<string, number>();
  /** Runs that their gateways have noted. */
  #runningWell = new WeakSet<TrafficRequest>();
  #result: CrashTrafficResult;

  constructor(traffic: CrashTraffic) {
    this.#traffic = traffic;
    this.#random = createSeededRandom(traffic.seed);
    this.#servers = Array.from(
      { length: traffic.servers },
      (_, index) => ({ announcement: announce(index), upAt: 0, running: [] }),
    );
    const { gateways = 1, powerLoss } = traffic;
    this.#hosts = new TrafficHosts({
      gateways,
      random: this.#random,
      keepsCrashes: powerLoss !== undefined,
      onReport: (report) => this.#noteHeard(report),
      onGoodEnd: (end) => this.#noteGoodEnd(end),
    });
    this.#result = {
      crashes: traffic.harmful.map(() => []),
      heardCrashes: traffic.harmful.map(() => []),
      toldCrashes: traffic.harmful.map(() => []),
      arrivals: traffic.harmful.map(() => []),
      harmless: [],
      restarts: [],
      blames: [],
    };
  }

  run(): CrashTrafficResult {
    const { milliseconds } = this.#traffic;
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
      this.#callerEvents = runDueEvents(this.#callerEvents, now);
      this.#sendDue(now);
      if (this.#traffic.storms?.includes(now)) this.#leaveInStorm(now);
      for (const server of this.#servers) {
        this.#beginAnswers(server, now);
        this.#giveUp(server, now);
        this.#endAnswers(server, now);
      }
      this.#failServers(now);
      if (now % RUNNING_CHECK_MILLISECONDS === 0) this.#noteRunning(now);
      this.#result.blames.push(...this.#hosts.step(now));
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
    for (const [kind, { perSecond, crowd, until }] of harmful.entries()) {
      if (until !== undefined && now >= until) continue;
      if (crowd !== undefined) this.#sendCrowd(kind, now);
      else if (this.#random() < perSecond * seconds) this.#send(now, kind);
    }
  }

  #sendCrowd(kind: number, now: number): void {
    const { size, gap } = this.#traffic.harmful[kind]!.crowd!;
    if (now < (this.#crowdAt[kind] ?? CROWDS_FROM_MILLISECONDS)) return;
    this.#crowdAt[kind] = now + this.#between(gap);
    for (let count = 0; count < size; count += 1) this.#send(now, kind);
  }

  #send(now: number, kind: number | undefined): void {
    const { harmful, drawHarmless } = this.#traffic;
    this.#requestCount += 1;
    const harmfulKind = kind === undefined ? undefined : harmful[kind]!;
    const draw = harmfulKind?.drawParts ?? drawHarmless;
    const parts = draw(this.#random);
    const fingerprint = harmfulKind?.isRepeated
      ? `repeated-${kind}`
      : `request-${this.#requestCount}`;
    if (kind !== undefined) this.#harmfulRequests.add(fingerprint);
    const repeatsLeft = harmfulKind?.repeats?.most ?? 0;
    this.#sendAttempt({ fingerprint, parts, kind, repeatsLeft }, now);
  }

  #sendAttempt(
    request: Pick<
      TrafficRequest,
      "fingerprint" | "parts" | "kind" | "repeatsLeft"
    >,
    now: number,
  ): void {
    const { lifetime, crashDelay, firstByte } = this.#traffic;
    const { fingerprint, parts, kind } = request;
    if (now < this.#downUntil) return this.#repeat(request, now);
    const blame = this.#hosts.ledger.checkBlame(fingerprint, now, parts);
    const outcome = kind === undefined
      ? this.#recordHarmless(now, parts, blame)
      : undefined;
    if (blame !== undefined) return this.#repeat(request, now);
    const up = this.#servers.filter(({ upAt }) => upAt <= now);
    const server = this.#chooseServer(up);
    if (server === undefined) return;
    const lengthMilliseconds = this.#between(
      kind === undefined ? lifetime : crashDelay,
    );
    const leavesAt = now + this.#drawLeaving(kind);
    const gateway = this.#drawGateway(now);
    if (gateway === undefined) return this.#repeat(request, now);
    if (kind !== undefined && this.#hosts.isInTouch(gateway, now)) {
      this.#result.arrivals[kind]!.push(now);
    }
    const sent: TrafficRequest = {
      ...request,
      gateway,
      sentAt: now,
      begunAt: undefined,
      hasHead: this.#drawHead(kind),
      firstByteMilliseconds: firstByte === undefined
        ? 0
        : this.#between(firstByte),
      lengthMilliseconds,
      firstByteAt: Infinity,
      endsAt: Infinity,
      leavesAt,
      hasWaited: false,
      isGivenUp: false,
      outcome,
    };
    server.running.push(sent);
    this.#start(server, now);
    this.#beginAnswers(server, now);
    sent.hasWaited = sent.endsAt === Infinity;
    if (!sent.hasWaited && leavesAt < sent.endsAt) this.#repeat(sent, leavesAt);
  }

  #drawHead(kind: number | undefined): boolean {
    const { headShare } = kind === undefined
      ? {}
      : this.#traffic.harmful[kind]!;
    return headShare === undefined || this.#random() < headShare;
  }

  /** Any of them or, where requests may have to wait, the emptier of two. */
  #chooseServer(up: Server[]): Server | undefined {
    const server = up[Math.floor(this.#random() * up.length)];
    if (this.#traffic.slots === undefined || server === undefined) {
      return server;
    }
    const other = up[Math.floor(this.#random() * up.length)]!;
    return other.running.length < server.running.length ? other : server;
  }

  /** The server starts on what waits there while it has room. */
  #start({ running }: Server, now: number): void {
    const { slots = Infinity } = this.#traffic;
    for (const run of running.slice(0, slots)) {
      if (run.endsAt < Infinity) continue;
      run.firstByteAt = now + run.firstByteMilliseconds;
      run.endsAt = run.firstByteAt + run.lengthMilliseconds;
    }
  }

  #beginAnswers({ running }: Server, now: number): void {
    for (const run of running) {
      if (run.begunAt !== undefined || !run.hasHead) continue;
      if (run.firstByteAt <= now) run.begunAt = now;
    }
  }

  /** Callers of all harmless requests leave. */
  #leaveInStorm(now: number): void {
    for (const run of this.#servers.flatMap(({ running }) => running)) {
      if (run.kind === undefined) run.leavesAt = Math.min(run.leavesAt, now);
    }
  }

  /** One of those that are there, if any. */
  #drawGateway(now: number): number | undefined {
    const { gateways = 1 } = this.#traffic;
    if (gateways === 1) return 0;
    const present = Array.from({ length: gateways }, (_, index) => index)
      .filter((gateway) => this.#hosts.isPresent(gateway, now));
    return present[Math.floor(this.#random() * present.length)];
  }

  /**
   * Gateways give up requests whose callers leave. A server drops those of them
   * that wait.
   */
  #giveUp(server: Server, now: number): void {
    const given = server.running
      .filter(({ isGivenUp, leavesAt }) => !isGivenUp && leavesAt <= now);
    if (given.length === 0) return;
    for (const run of given) {
      run.isGivenUp = true;
      this.#hosts.giveUp(server.announcement, run);
      if (run.hasWaited) this.#repeat(run, now);
    }
    server.running = server.running
      .filter(({ isGivenUp, endsAt }) => !isGivenUp || endsAt < Infinity);
  }

  #drawLeaving(kind: number | undefined): number {
    const { harmful, harmlessLeaving } = this.#traffic;
    if (kind !== undefined) {
      const { leaving } = harmful[kind]!;
      return leaving === undefined ? Infinity : this.#between(leaving);
    }
    if (harmlessLeaving === undefined) return Infinity;
    const leaves = this.#random() < harmlessLeaving.share;
    return leaves ? this.#between(harmlessLeaving.after) : Infinity;
  }

  /** The caller sends a request that has failed again, if it does. */
  #repeat(
    request: Pick<
      TrafficRequest,
      "fingerprint" | "parts" | "kind" | "repeatsLeft"
    >,
    failedAt: number,
  ): void {
    if (request.kind === undefined || request.repeatsLeft === 0) return;
    const { delay } = this.#traffic.harmful[request.kind]!.repeats!;
    const repeatsLeft = request.repeatsLeft - 1;
    this.#callerEvents.push({
      at: failedAt + this.#between(delay),
      run: (now) => this.#sendAttempt({ ...request, repeatsLeft }, now),
    });
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
        (this.#goodSentAt.get(part) ?? -Infinity) > this.#lastCrashAt
      ),
    };
    this.#result.harmless.push(outcome);
    return outcome;
  }

  #endAnswers(server: Server, now: number): void {
    const isOver = ({ endsAt }: TrafficRequest) => endsAt <= now;
    const harmful = server.running.find((request) =>
      request.kind !== undefined && isOver(request)
    );
    if (harmful !== undefined) {
      this.#result.crashes[harmful.kind!]!.push(now);
      this.#unheard.set(incarnationOf(server.announcement), harmful.kind!);
      this.#untold.set(incarnationOf(server.announcement), harmful.kind!);
      this.#crash(server, now);
      this.#scheduleAbsences(now);
      return this.#scheduleLossOfPower(now);
    }
    const ended = server.running.filter(isOver);
    server.running = server.running.filter((request) => !isOver(request));
    if (ended.length > 0) this.#start(server, now);
    const heard = ended.filter(({ leavesAt, endsAt }) => leavesAt > endsAt);
    for (const { outcome } of heard) outcome!.isServed = true;
    for (const run of heard) this.#hosts.recordGoodEnd(run, now);
  }

  #crash(server: Server, now: number): void {
    const { announcement, running } = server;
    this.#lastCrashAt = now;
    server.announcement = {
      ...announcement,
      bornAt: announcement.bornAt + 1,
    };
    server.upAt = now + this.#traffic.restartMilliseconds;
    server.running = [];
    const { proofDelay } = this.#traffic;
    const provedAt = proofDelay === undefined
      ? now
      : now + this.#between(proofDelay);
    const interrupted = running.filter(({ leavesAt }) => leavesAt > now);
    for (const request of interrupted) this.#repeat(request, now);
    const { upAt } = server;
    const next = server.announcement;
    this.#hosts.reportCrash(
      { announcement, next, upAt, at: now, provedAt },
      interrupted,
    );
  }

  #scheduleLossOfPower(crashedAt: number): void {
    const { powerLoss } = this.#traffic;
    const crashes = this.#result.crashes.flat().length;
    if (!powerLoss?.behindCrashes.includes(crashes)) return;
    this.#callerEvents.push({
      at: crashedAt + this.#between(powerLoss.delay),
      run: (now) => this.#losePower(now),
    });
  }

  #losePower(now: number): void {
    this.#downUntil = now + OUTAGE_MILLISECONDS;
    this.#result.restarts.push(this.#downUntil);
    for (const server of this.#servers) this.#leaveAll(server, now);
    const { isOfGatewaysOnly = false } = this.#traffic.powerLoss!;
    this.#hosts.losePower(now, { isOfGatewaysOnly });
    this.#callerEvents.push({
      at: this.#downUntil,
      run: () => this.#hosts.startGateways(),
    });
  }

  #scheduleAbsences(now: number): void {
    const crashes = this.#result.crashes.flat().length;
    for (const absence of this.#traffic.absences ?? []) {
      if (absence.behindCrash !== crashes) continue;
      for (const gateway of absence.gateways) {
        if (absence.how === "killed" || absence.how === "silent") {
          this.#leaveAllOf(gateway, now);
        }
        this.#hosts.keepAway(gateway, absence, now);
      }
    }
  }

  /** With its gateway, a request loses its caller. */
  #leaveAllOf(gateway: number, now: number): void {
    for (const { running } of this.#servers) {
      for (const request of running) {
        if (request.gateway !== gateway || request.leavesAt <= now) continue;
        request.leavesAt = now;
        request.isGivenUp = true;
        this.#repeat(request, now);
      }
    }
  }

  #noteHeard(report: CrashReport): void {
    const { incarnation, crashedAt, fingerprint } = report;
    const told = this.#untold.get(incarnation);
    if (told !== undefined && this.#harmfulRequests.has(fingerprint)) {
      this.#untold.delete(incarnation);
      this.#result.toldCrashes[told]!.push(crashedAt!);
    }
    const kind = this.#unheard.get(incarnation);
    if (kind === undefined) return;
    this.#unheard.delete(incarnation);
    this.#result.heardCrashes[kind]!.push(crashedAt!);
  }

  /** With its gateway, a request loses its caller. */
  #leaveAll(server: Server, now: number): void {
    for (const request of server.running) {
      if (request.leavesAt <= now) continue;
      request.leavesAt = now;
      this.#repeat(request, now);
    }
  }

  #failServers(now: number): void {
    for (const { at, count } of this.#traffic.failures ?? []) {
      if (at !== now) continue;
      const up = this.#servers.filter(({ upAt }) => upAt <= now);
      for (const server of up.slice(0, count)) this.#crash(server, now);
    }
  }

  /** Gateways can't tell harmful answers from others that are written. */
  #noteRunning(now: number): void {
    for (const run of this.#servers.flatMap(({ running }) => running)) {
      const { begunAt = Infinity, leavesAt, kind, gateway } = run;
      if (now - begunAt < RUNNING_WELL_MILLISECONDS || leavesAt <= now) {
        continue;
      }
      if (kind !== undefined && !this.#traffic.harmful[kind]!.isWriting) {
        continue;
      }
      if (!this.#hosts.isWatching(gateway) || this.#runningWell.has(run)) {
        continue;
      }
      this.#runningWell.add(run);
      this.#hosts.recordRunning(run, now);
    }
  }

  #noteGoodEnd({ part, sentAt }: GoodEnd): void {
    const known = this.#goodSentAt.get(part) ?? -Infinity;
    this.#goodSentAt.set(part, Math.max(known, sentAt));
  }
}

function announce(index: number): BackendAnnouncement {
  return {
    instance: `server-${index}`,
    service: "writer",
    address: `127.0.0.1:${index}`,
    dataCentre: "here",
    slots: 16,
    state: "ready",
    bornAt: 0,
    sequence: 0,
    coldMilliseconds: 0,
    models: [],
  };
}
