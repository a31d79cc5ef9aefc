import { blameOfRow } from "@teaselrouter/core/crashes/blame_of_row.ts";
import { BackendRegistry } from "@teaselrouter/core/membership/backend_registry.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type {
  Backend,
  EngineLoad,
  EngineNotice,
} from "@teaselrouter/messages/follow.ts";
import { interval, type Observable, share, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { encodeBackend } from "../transport/encode_backend.ts";
import { CrashJudge } from "./crash_judge.ts";
import { LimitDivider } from "./limit_divider.ts";
import { LatestGatherer } from "./latest_gatherer.ts";

/** Five heartbeats of the slowest kind: they may come seconds late. */
const SILENT_MILLISECONDS = 6_000;
/** Longer than a partition holds up a heartbeat that was sent before an end. */
const FORGET_MILLISECONDS = 60_000;
/** Ends longer ago say nothing of a request that has not been blamed. */
const SUSPICION_MILLISECONDS = 600_000;
const EXPIRE_EVERY_MILLISECONDS = 500;
/** Half of the time between heartbeats to a follower. */
const LOOK_MILLISECONDS = 200;
/** Followers hear of loads so often at most; agents look at them half as often. */
const GATHER_LOADS_MILLISECONDS = 100;
/** Many engines change at once when a version is loaded, or behind an outage. */
const GATHER_NOTICES_MILLISECONDS = 20;
/** A fraction of the silence after which a backend server counts as gone. */
const GATHER_HEARD_MILLISECONDS = 200;

type Options = {
  log: EventLog;
  /** The replicated tables as far as this host has them. */
  logState: () => ControlState;
  dataCentre: string;
  controlAddresses: () => string[];
  /** Whether the tables hold all that was accepted when this host started. */
  isCurrent: () => boolean;
};

/** What a control host passes on to its followers. */
export class SharedView {
  /** Standings that changed in something that matters to routing. */
  readonly changed$ = new Subject<Backend[]>();
  /** What backend servers said to this very host; that they live, gathered. */
  readonly heardHere$ = new Subject<Backend[]>();
  /** The replicated tables changed. */
  readonly log$ = new Subject<void>();
  readonly hosts$ = new Subject<void>();
  /** When followers' sessions look what they have to say; one timer for all. */
  readonly look$ = interval(LOOK_MILLISECONDS).pipe(share());
  /** Which requests end the backend servers that run them. */
  readonly crashes: CrashJudge;
  /** What backend servers in need take, and who wants it. */
  readonly limits = new LimitDivider();
  #options: Options;
  #registry = new BackendRegistry({
    silentMilliseconds: SILENT_MILLISECONDS,
    forgetMilliseconds: FORGET_MILLISECONDS,
  });
  /** Versions whose naming this process saw, not those of before it. */
  #named = new NamedVersions();
  #notices = new Map<string, EngineNotice>();
  #noticesSoon = gatherByEngine<EngineNotice>(GATHER_NOTICES_MILLISECONDS);
  #loadsSoon = gatherByEngine<EngineLoad>(GATHER_LOADS_MILLISECONDS);
  #loadsHereSoon = gatherByEngine<EngineLoad>(GATHER_LOADS_MILLISECONDS);
  #heardSoon = new LatestGatherer<Backend>({
    milliseconds: GATHER_HEARD_MILLISECONDS,
    keyOf: ({ instance }) => instance,
  });
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.crashes = new CrashJudge(options);
    this.#timer = setInterval(() => this.#expire(), EXPIRE_EVERY_MILLISECONDS);
    this.#heardSoon.gathered$.subscribe(this.heardHere$);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.crashes.stop();
    this.limits.stop();
    for (
      const gatherer of [
        this.#noticesSoon,
        this.#loadsSoon,
        this.#loadsHereSoon,
        this.#heardSoon,
      ]
    ) gatherer.stop();
  }

  /** What agents said of their engines, gathered for a moment. */
  get engines$(): Observable<EngineNotice[]> {
    return this.#noticesSoon.gathered$;
  }

  /** Loads of engines that changed, gathered for a moment. */
  get loads$(): Observable<EngineLoad[]> {
    return this.#loadsSoon.gathered$;
  }

  /** Those of them that agents told this very host. */
  get loadsHere$(): Observable<EngineLoad[]> {
    return this.#loadsHereSoon.gathered$;
  }

  get dataCentre(): string {
    return this.#options.dataCentre;
  }

  get isCurrent(): boolean {
    return this.#options.isCurrent();
  }

  logState(): ControlState {
    return this.#options.logState();
  }

  /** The replicated tables changed while this process ran, or are the first. */
  noteLog({ isFirst }: { isFirst: boolean }): void {
    const now = monotonicMilliseconds();
    for (
      const { model, version, at } of this.logState().namedWeights.values()
    ) {
      const age = isFirst ? Math.max(0, Date.now() - at) : 0;
      this.#named.add(model, { version, namedAt: now - age });
    }
    if (isFirst) this.#recallBlames(now);
    this.log$.next();
  }

  /** Ahead of the routing that lets gateways take requests. */
  #recallBlames(monotonic: number): void {
    const rows = [...this.logState().blamedRequests.values()];
    const timeOfDay = Date.now();
    this.crashes.recallSuspicions(
      [...this.logState().suspectedRequests.values()]
        .filter(({ at }) => timeOfDay - at < SUSPICION_MILLISECONDS),
    );
    this.crashes.recall(
      rows.map((row) => blameOfRow(row, { timeOfDay, monotonic }))
        .filter(({ endsAt }) => endsAt > monotonic),
    );
  }

  ageOfWeights(model: string, version: number): number {
    const now = monotonicMilliseconds();
    return now - (this.#named.namedAt(model, version) ?? now);
  }

  /** Versions of a model named until now, and how long ago. */
  namedAges(model: string): { version: number; ageMilliseconds: number }[] {
    const now = monotonicMilliseconds();
    return this.#named.all(model).map(({ version, namedAt }) => ({
      version,
      ageMilliseconds: now - namedAt,
    }));
  }

  controlAddresses(): string[] {
    return this.#options.controlAddresses();
  }

  allBackends(): Backend[] {
    return this.#registry.all().map(encodeBackend);
  }

  engineNotices(): EngineNotice[] {
    return [...this.#notices.values()];
  }

  /** A backend server's own word, said to this host. */
  hear(standing: BackendStanding): void {
    const changed = this.#registry.take(standing, monotonicMilliseconds());
    const heard = encodeBackend(standing);
    // That it lives can wait; what it says anew is told ahead of its answer.
    if (changed.length === 0) return this.#heardSoon.add(heard);
    this.heardHere$.next([heard]);
    this.#tell(changed, "heard");
  }

  /** A backend server said to this host that it has left. */
  hearLeaving(instance: string): void {
    const changed = this.#registry.leave(instance, monotonicMilliseconds());
    if (changed.length > 0) this.heardHere$.next(changed.map(encodeBackend));
    this.#tell(changed, "heard");
  }

  /** What another control host heard. */
  learn(standings: BackendStanding[]): void {
    const now = monotonicMilliseconds();
    for (const standing of standings) {
      this.#tell(this.#registry.take(standing, now), "passed-on");
    }
  }

  /** A stager's earlier session may end after its next one has begun. */
  notice(notice: EngineNotice): void {
    const known = this.#notices.get(notice.engineAddress);
    const isOld = known !== undefined && !known.agentGone &&
      known.sequence > notice.sequence;
    if (isOld) return;
    this.#notices.set(notice.engineAddress, notice);
    this.#noticesSoon.add(notice);
  }

  /** What an agent told this host of its engine. */
  noteLoad(load: EngineLoad): void {
    this.#loadsHereSoon.add(load);
    this.#loadsSoon.add(load);
  }

  /** What another control host was told. */
  learnLoads(loads: EngineLoad[]): void {
    for (const load of loads) this.#loadsSoon.add(load);
  }

  #expire(): void {
    this.#tell(this.#registry.expire(monotonicMilliseconds()), "silent");
  }

  #tell(changed: BackendStanding[], how: string): void {
    if (changed.length === 0) return;
    for (const standing of changed) {
      this.#options.log.info("backend-server-changed", {
        instance: standing.instance,
        address: standing.address,
        service: standing.service,
        state: standing.state,
        sequence: standing.sequence,
        models: standing.models.map(({ name, version }) =>
          `${name}@${version}`
        ).join(",") || "none",
        how,
      });
    }
    this.changed$.next(changed.map(encodeBackend));
  }
}

function gatherByEngine<Value extends { engineAddress: string }>(
  milliseconds: number,
): LatestGatherer<Value> {
  return new LatestGatherer({
    milliseconds,
    keyOf: ({ engineAddress }) => engineAddress,
  });
}
