import { BackendRegistry } from "@teaselrouter/core/membership/backend_registry.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type {
  Backend,
  EngineLoad,
  EngineNotice,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { encodeBackend } from "../transport/encode_backend.ts";

/** Five heartbeats of the slowest kind: they may come seconds late. */
const SILENT_MILLISECONDS = 6_000;
/** Longer than a partition holds up a heartbeat that was sent before an end. */
const FORGET_MILLISECONDS = 60_000;
const EXPIRE_EVERY_MILLISECONDS = 500;
/** At most so often followers hear of loads, however many engines there are. */
const GATHER_LOADS_MILLISECONDS = 50;

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
  /** Every word that a backend server said to this very host. */
  readonly heardHere$ = new Subject<Backend[]>();
  readonly engine$ = new Subject<EngineNotice>();
  /** Loads of engines that changed, gathered for a moment. */
  readonly loads$ = new Subject<EngineLoad[]>();
  /** Those of them that agents told this very host. */
  readonly loadsHere$ = new Subject<EngineLoad[]>();
  /** The replicated tables changed. */
  readonly log$ = new Subject<void>();
  readonly hosts$ = new Subject<void>();
  #options: Options;
  #registry = new BackendRegistry({
    silentMilliseconds: SILENT_MILLISECONDS,
    forgetMilliseconds: FORGET_MILLISECONDS,
  });
  /** Versions whose naming this process saw, not those of before it. */
  #named = new NamedVersions();
  #notices = new Map<string, EngineNotice>();
  #loads = new Map<string, EngineLoad>();
  #loadsHere = new Map<string, EngineLoad>();
  #loadsTimer: NodeJS.Timeout | undefined;
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(() => this.#expire(), EXPIRE_EVERY_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#loadsTimer);
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
    this.log$.next();
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
    this.heardHere$.next([encodeBackend(standing)]);
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

  notice(notice: EngineNotice): void {
    this.#notices.set(notice.engineAddress, notice);
    this.engine$.next(notice);
  }

  /** What an agent told this host of its engine. */
  noteLoad(load: EngineLoad): void {
    this.#loadsHere.set(load.engineAddress, load);
    this.learnLoads([load]);
  }

  /** What another control host was told; followers hear of several at once. */
  learnLoads(loads: EngineLoad[]): void {
    for (const load of loads) this.#loads.set(load.engineAddress, load);
    this.#loadsTimer ??= setTimeout(
      () => this.#tellLoads(),
      GATHER_LOADS_MILLISECONDS,
    );
  }

  #tellLoads(): void {
    this.#loadsTimer = undefined;
    const loads = [...this.#loads.values()];
    const loadsHere = [...this.#loadsHere.values()];
    this.#loads.clear();
    this.#loadsHere.clear();
    this.loads$.next(loads);
    if (loadsHere.length > 0) this.loadsHere$.next(loadsHere);
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
