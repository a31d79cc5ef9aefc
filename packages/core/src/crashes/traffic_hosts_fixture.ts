import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { incarnationOf } from "../membership/incarnation_of.ts";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import { applyCrash } from "./apply_crash.ts";
import { AnswerVisibility } from "./answer_visibility.ts";
import type { Blame } from "./blame.ts";
import type { ClockReadings } from "./clock_readings.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashReport } from "./crash_report.ts";
import type { CrashTraffic } from "./crash_traffic.ts";
import type { GivenUpRun } from "./given_up_run.ts";
import { GivenUpRuns } from "./given_up_runs.ts";
import { runDueEvents } from "./run_due_events_fixture.ts";
import type { Survival } from "./survival.ts";
import type { TrafficEvent } from "./traffic_event_fixture.ts";
import type { TrafficRequest } from "./traffic_request_fixture.ts";
import { WatchCoverage } from "./watch_coverage.ts";

const DECISION_DELAY_MILLISECONDS = 120;
const REPORT_DELAY_MILLISECONDS = { least: 40, most: 110 };
/** From a blame or what is known of a crash until the log has it. */
const KEEPING_DELAY_MILLISECONDS = 60;
/** From the news of a start until a server counts as replaced. */
const REPLACED_MILLISECONDS = 700;
/** From a gateway's start until it is in touch. */
const PROPAGATION_MILLISECONDS = 3_000;
/** Gateways are there long before the traffic. */
const WATCHED_FROM = -60_000;
/** Of the start of the traffic. */
const UNIX_MILLISECONDS = 1_700_000_000_000;
const START_NEWS_MILLISECONDS = 150;
const HEARTBEAT_MILLISECONDS = 1_000;
/** Until a control host drops a gateway of which it hears nothing. */
const SILENCE_MILLISECONDS = 5_000;
const LOST_SHARE = 0.05;
const DOUBLED_SHARE = 0.1;

type Absence = NonNullable<CrashTraffic["absences"]>[number];

type Options = {
  gateways: number;
  random: () => number;
  keepsCrashes: boolean;
  /** Called when a report arrives at control hosts. */
  onReport: (report: CrashReport) => void;
};

/** The end of a server; times in milliseconds. */
type ServerCrash = {
  announcement: BackendAnnouncement;
  /** Its next start. */
  next: BackendAnnouncement;
  upAt: number;
  at: number;
  provedAt: number;
};

/**
 * Gateways and control hosts of simulated traffic: what they have seen, tell each
 * other and keep.
 */
export class TrafficHosts {
  #options: Options;
  #coverage = new WatchCoverage();
  #answers = new AnswerVisibility();
  #watchers = new Map<number, ReturnType<AnswerVisibility["join"]>>();
  /** The latest start of each server that control hosts know. */
  #starts = new Map<string, BackendAnnouncement>();
  ledger = this.#createLedger();
  /** What each gateway has given up. */
  #givenUp: GivenUpRuns<TrafficRequest>[];
  /** Messages between hosts, which a loss of power loses. */
  #deliveries: TrafficEvent[] = [];
  #keptBlames: { blame: Blame; at: number }[] = [];
  /** What the log has. */
  #state = createEmptyControlState();
  #proposed = new Set<string>();
  /** Gateways that are away, and until when. */
  #awayUntil = new Map<number, number>();

  constructor(options: Options) {
    this.#options = options;
    this.#givenUp = this.#createGivenUp();
    this.startGateways(WATCHED_FROM);
  }

  startGateways(now: number): void {
    for (const gateway of this.#givenUp.keys()) this.#join(gateway, now, now);
  }

  #join(gateway: number, startedAt: number, now: number): void {
    this.#coverage.addWatcher(startedAt, now);
    this.#watchers.set(gateway, this.#answers.join(startedAt, now));
  }

  #leave(watcher: ReturnType<AnswerVisibility["join"]>, now: number): void {
    this.#coverage.removeWatcher(now);
    this.#answers.leave(watcher);
  }

  /** Whether a gateway takes requests. */
  isPresent(gateway: number, now: number): boolean {
    return (this.#awayUntil.get(gateway) ?? -Infinity) <= now;
  }

  /** Whether a gateway has been there for long. */
  isInTouch(gateway: number, now: number): boolean {
    const awayUntil = this.#awayUntil.get(gateway) ?? -Infinity;
    return awayUntil + PROPAGATION_MILLISECONDS <= now;
  }

  /** A gateway is away for a while. */
  keepAway(
    gateway: number,
    { milliseconds, how }: Pick<Absence, "milliseconds" | "how">,
    now: number,
  ): void {
    const watcher = this.#watchers.get(gateway);
    if (watcher === undefined || !this.isPresent(gateway, now)) return;
    const until = now + milliseconds;
    if (how !== "moved") this.#awayUntil.set(gateway, until);
    const ofGateway = (event: TrafficEvent) => event.gateway === gateway;
    if (how === "frozen") {
      for (const event of this.#deliveries.filter(ofGateway)) {
        event.at = Math.max(event.at, until);
      }
    } else if (how !== "moved") {
      this.#deliveries = this.#deliveries.filter((event) => !ofGateway(event));
      this.#givenUp[gateway] = new GivenUpRuns();
    }
    const isDropped = how === "killed" || how === "moved";
    const droppedAt = now + (isDropped ? 0 : SILENCE_MILLISECONDS);
    const startedAt = how === "killed" || how === "silent"
      ? until
      : WATCHED_FROM;
    if (droppedAt >= until && how === "frozen") return;
    this.#deliveries.push({
      at: droppedAt,
      run: (later) => this.#leave(watcher, later),
    }, {
      at: until,
      run: (later) => this.#join(gateway, startedAt, later),
    });
  }

  /** Delivers what is due. Returns names of new blames. */
  step(now: number): string[] {
    this.#deliveries = runDueEvents(this.#deliveries, now);
    this.#hearGateways(now);
    this.#answers.recordServing(this.#isServing, now);
    if (this.#options.keepsCrashes) this.#keepCrashes(now);
    return this.ledger.blameSuspects(now).map((blame) => {
      this.#keptBlames.push({ blame, at: now });
      return blame.fingerprint;
    });
  }

  #hearGateways(now: number): void {
    for (const [gateway, watcher] of this.#watchers) {
      const isDue = now - watcher.heardAt >= HEARTBEAT_MILLISECONDS;
      if (isDue && this.isPresent(gateway, now)) {
        this.#answers.hear(watcher, now);
      }
    }
  }

  get #isServing(): boolean {
    const starts = [...this.#starts.values()];
    const ended = starts
      .filter((start) => this.ledger.hasEnded(incarnationOf(start)));
    return ended.length < starts.length / 2;
  }

  /** Control hosts hear of a start of a server. */
  recordStart(announcement: BackendAnnouncement): void {
    this.#starts.set(announcement.instance, announcement);
  }

  giveUp(announcement: BackendAnnouncement, run: TrafficRequest): void {
    const { begunAt, sentAt, leavesAt } = run;
    this.#givenUp[run.gateway]!.add({
      announcement,
      run,
      begunAt: begunAt ?? sentAt,
      sentAt,
      givenUpAt: leavesAt,
    });
  }

  reportCrash(crash: ServerCrash, interrupted: TrafficRequest[]): void {
    const { announcement, at, provedAt } = crash;
    const incarnation = incarnationOf(announcement);
    this.#deliveries.push({
      at: crash.upAt + START_NEWS_MILLISECONDS,
      run: () => this.recordStart(crash.next),
    });
    for (const request of interrupted) {
      this.#reportLater(buildReport(request, incarnation, at), {
        provedAt,
        mayBeLost: request.kind === undefined,
        gateway: request.gateway,
      });
    }
    this.#reportGivenUp(crash, { isSeen: interrupted.length > 0 });
  }

  reportSurvival(
    survival: Survival,
    { gateway, now, onHeard }: {
      gateway: number;
      now: number;
      onHeard: () => void;
    },
  ): void {
    this.#deliverLater(now, (later) => {
      this.#coverage.recordSurvival(later);
      const watcher = this.#watchers.get(gateway);
      if (watcher !== undefined) {
        this.#answers.recordSurvival(watcher, survival.begunAt, later);
      }
      this.ledger.recordSurvival(survival);
      onHeard();
    }, gateway);
  }

  /** Hosts lose power, and control hosts start again with what the log has. */
  losePower(
    now: number,
    { isOfGatewaysOnly }: { isOfGatewaysOnly: boolean },
  ): void {
    this.#deliveries = [];
    this.#givenUp = this.#createGivenUp();
    for (const watcher of this.#watchers.values()) this.#leave(watcher, now);
    this.#watchers.clear();
    if (isOfGatewaysOnly) return;
    this.ledger = this.#createLedger();
    this.#proposed.clear();
    for (const row of this.#state.crashes.values()) {
      this.ledger.restoreCrash(row, readClocks(now));
    }
    for (const { blame, at } of this.#keptBlames) {
      if (at + KEEPING_DELAY_MILLISECONDS > now) continue;
      this.ledger.mergeBlame(blame);
    }
  }

  #createLedger(): CrashLedger {
    return new CrashLedger({
      decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
      coveredSince: (now) => this.#coverage.since(now),
      answers: this.#answers,
    });
  }

  #createGivenUp(): GivenUpRuns<TrafficRequest>[] {
    const { gateways } = this.#options;
    return Array.from({ length: gateways }, () => new GivenUpRuns());
  }

  /**
   * Gateways report what they had given up there: those that are told of the end,
   * or all once they hear of a later start.
   */
  #reportGivenUp(
    { announcement, next, upAt, at, provedAt }: ServerCrash,
    { isSeen }: { isSeen: boolean },
  ): void {
    const incarnation = incarnationOf(announcement);
    if (this.#givenUp.every(({ size }) => size === 0)) return;
    for (const [gateway, runs] of this.#givenUp.entries()) {
      const report = (
        given: GivenUpRun<TrafficRequest>[],
        endedAt: number,
        now: number,
      ) => {
        for (const { run } of given) {
          const heard = buildReport(run, incarnation, endedAt);
          const terms = { provedAt: now, mayBeLost: false, gateway };
          this.#reportLater(heard, terms);
        }
      };
      if (isSeen) {
        this.#deliverLater(
          provedAt + this.#between(REPORT_DELAY_MILLISECONDS),
          (now) => report(runs.takeEnded(incarnation, at), at, now),
        );
      }
      const heardAt = Math.max(provedAt, upAt);
      this.#deliverLater(heardAt, (now) => {
        runs.recordStart(next, now);
      });
      this.#deliverLater(heardAt + REPLACED_MILLISECONDS, (now) => {
        for (const ended of runs.takeReplaced(now)) {
          report(ended.runs, ended.at, now);
        }
      });
    }
  }

  #reportLater(
    report: CrashReport,
    { provedAt, mayBeLost, gateway }: {
      provedAt: number;
      mayBeLost: boolean;
      gateway: number;
    },
  ): void {
    if (mayBeLost && this.#options.random() < LOST_SHARE) return;
    const copies = this.#options.random() < DOUBLED_SHARE ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.#deliverLater(provedAt, (later) => {
        this.ledger.recordReport(report, later);
        this.#options.onReport(report);
      }, gateway);
    }
  }

  #keepCrashes(now: number): void {
    const { crashes } = this.#state;
    for (const crash of this.ledger.listUnkept(crashes, readClocks(now))) {
      if (this.#proposed.has(crash.incarnation)) continue;
      this.#proposed.add(crash.incarnation);
      this.#deliveries.push({
        at: now + KEEPING_DELAY_MILLISECONDS,
        run: () => {
          this.#proposed.delete(crash.incarnation);
          applyCrash(this.#state, { kind: "record-crash", crash });
        },
      });
    }
  }

  #between({ least, most }: { least: number; most: number }): number {
    return least + this.#options.random() * (most - least);
  }

  #deliverLater(
    now: number,
    run: TrafficEvent["run"],
    gateway?: number,
  ): void {
    // A frozen gateway speaks once it goes on.
    const from = gateway === undefined
      ? now
      : Math.max(now, this.#awayUntil.get(gateway) ?? -Infinity);
    const at = from + this.#between(REPORT_DELAY_MILLISECONDS);
    this.#deliveries.push({
      at,
      run,
      ...(gateway !== undefined && { gateway }),
    });
  }
}

function readClocks(now: number): ClockReadings {
  return { timeOfDay: now + UNIX_MILLISECONDS, monotonic: now };
}

function buildReport(
  { fingerprint, parts, begunAt, leavesAt }: TrafficRequest,
  incarnation: string,
  crashedAt: number,
): CrashReport {
  return {
    fingerprint,
    parts,
    incarnation,
    begunMilliseconds: begunAt === undefined ? undefined : crashedAt - begunAt,
    crashedAt,
    isGivenUp: leavesAt <= crashedAt,
  };
}
