import { blameFromRow } from "@teaselrouter/core/crashes/blame_from_row.ts";
import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import { BackendRegistry } from "@teaselrouter/core/membership/backend_registry.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type {
  Backend,
  Departure as DepartureMessage,
  EngineLoad,
  EngineNotice,
} from "@teaselrouter/messages/follow.ts";
import { interval, type Observable, share, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { encodeBackend } from "../transport/encode_backend.ts";
import { encodeDeparture } from "../transport/encode_departure.ts";
import { CrashAttributor } from "./crash_attributor.ts";
import { GatewayCounter } from "./gateway_counter.ts";
import { LimitDivider } from "./limit_divider.ts";
import { LatestValueBatcher } from "./latest_value_batcher.ts";

/** Five intervals of the slowest heartbeat; heartbeats can be seconds late. */
const SILENCE_TIMEOUT_MILLISECONDS = 6_000;
/**
 * How long a backend server that is gone is remembered: longer than a network
 * partition can delay a heartbeat that it sent before its end.
 */
const GONE_RETENTION_MILLISECONDS = 60_000;
/** Older ends are no evidence against a request that is not blamed yet. */
const SUSPICION_RETENTION_MILLISECONDS = 600_000;
const EXPIRE_INTERVAL_MILLISECONDS = 500;
/** Half of the 400 ms between heartbeats to a follower. */
const HEARTBEAT_CHECK_MILLISECONDS = 200;
/**
 * Followers are sent changed loads at most once in this time. Stagers read them
 * from the engines every 80 or 250 ms.
 */
const LOAD_BATCH_MILLISECONDS = 100;
/** Many engines change at once while a version is loaded or after an outage. */
const NOTICE_BATCH_MILLISECONDS = 20;
/** A fraction of the 6 s of silence after which a backend server is gone. */
const ANNOUNCEMENT_BATCH_MILLISECONDS = 200;

type Options = {
  log: EventLog;
  /** The replicated state as far as this host has applied it. */
  replicatedState: () => ControlState;
  dataCentre: string;
  controlAddresses: () => string[];
  /**
   * True once this host has applied its log up to the first entry of a leader's
   * term, and so all that was committed when this host started. Stays true
   * after that, also while no leader is known.
   */
  isCurrent: () => boolean;
  /** Whether this host leads the control hosts now. */
  isLeading: () => boolean;
  /** Whether a majority of control hosts has a leader that this one hears. */
  hasLeader: () => boolean;
};

/**
 * What a control host sends to its followers (gateways and other control
 * hosts): backend servers, engine notices and loads, blames, limits and the
 * replicated configuration. Other control hosts get the changes of backend
 * servers, loads, crash reports, limit demands and presences of gateways that
 * were reported to this host itself ("local"), so that these don't circulate
 * among control hosts.
 */
export class SharedView {
  /** Announcements that changed in a field that affects routing. */
  readonly changed$ = new Subject<Backend[]>();
  /**
   * Announcements that backend servers sent to this host. Those that change
   * nothing for routing are batched.
   */
  readonly localBackends$ = new Subject<Backend[]>();
  /** Departures that were news to this host. */
  readonly departures$ = new Subject<DepartureMessage[]>();
  /** Of these, those told by backend servers themselves or stored in its log. */
  readonly ownDepartures$ = new Subject<DepartureMessage[]>();
  /** Emits when the replicated state changed. */
  readonly stateChanged$ = new Subject<void>();
  readonly controlHostsChanged$ = new Subject<void>();
  /**
   * Emits when follow sessions check whether a heartbeat is due. One timer
   * serves all sessions.
   */
  readonly heartbeatCheck$ = interval(HEARTBEAT_CHECK_MILLISECONDS).pipe(
    share(),
  );
  /** Finds the requests that end the backend servers running them. */
  readonly crashes: CrashAttributor;
  /** Divides the limits that overloaded backend servers named among hosts. */
  readonly limits = new LimitDivider();
  /** Counts the gateways that share the rates of cold backend servers. */
  readonly gateways: GatewayCounter;
  #options: Options;
  #registry = new BackendRegistry({
    silenceTimeoutMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
    goneRetentionMilliseconds: GONE_RETENTION_MILLISECONDS,
  });
  /**
   * Weight versions that this process saw named, and those current when it
   * started; no earlier ones.
   */
  #namedVersions = new NamedVersions();
  #encodedRouting: { document: string; bytes: Uint8Array } | undefined;
  #notices = new Map<string, EngineNotice>();
  #noticeBatcher = batchByEngine<EngineNotice>(NOTICE_BATCH_MILLISECONDS);
  #loadBatcher = batchByEngine<EngineLoad>(LOAD_BATCH_MILLISECONDS);
  #localLoadBatcher = batchByEngine<EngineLoad>(LOAD_BATCH_MILLISECONDS);
  #announcementBatcher = new LatestValueBatcher<Backend>({
    milliseconds: ANNOUNCEMENT_BATCH_MILLISECONDS,
    keyOf: ({ instance }) => instance,
  });
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.crashes = new CrashAttributor(options);
    this.gateways = new GatewayCounter(options);
    this.#timer = setInterval(
      () => this.#expire(),
      EXPIRE_INTERVAL_MILLISECONDS,
    );
    this.#announcementBatcher.batches$.subscribe(this.localBackends$);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.crashes.stop();
    this.limits.stop();
    this.gateways.stop();
    for (
      const batcher of [
        this.#noticeBatcher,
        this.#loadBatcher,
        this.#localLoadBatcher,
        this.#announcementBatcher,
      ]
    ) batcher.stop();
  }

  /** Notices of stagers about their engines, in batches. */
  get engines$(): Observable<EngineNotice[]> {
    return this.#noticeBatcher.batches$;
  }

  /** Changed loads of engines, in batches. */
  get loads$(): Observable<EngineLoad[]> {
    return this.#loadBatcher.batches$;
  }

  /** Those loads that stagers reported to this host, in batches. */
  get localLoads$(): Observable<EngineLoad[]> {
    return this.#localLoadBatcher.batches$;
  }

  get dataCentre(): string {
    return this.#options.dataCentre;
  }

  get isCurrent(): boolean {
    return this.#options.isCurrent();
  }

  replicatedState(): ControlState {
    return this.#options.replicatedState();
  }

  /** The bytes of a configuration, which are the same for all followers. */
  encodeRouting({ document }: { document: string }): Uint8Array {
    if (this.#encodedRouting?.document !== document) {
      const bytes = new TextEncoder().encode(document);
      this.#encodedRouting = { document, bytes };
    }
    return this.#encodedRouting.bytes;
  }

  /**
   * Called when the replicated state changed, and with `isFirst` once it is
   * first current. Weights in the first state are as old as their timestamp
   * says; later ones are taken to be named now.
   */
  handleStateChange({ isFirst }: { isFirst: boolean }): void {
    const now = monotonicMilliseconds();
    for (
      const { model, version, at } of this.replicatedState().namedWeights
        .values()
    ) {
      const age = isFirst ? Math.max(0, Date.now() - at) : 0;
      this.#namedVersions.add(model, { version, namedAt: now - age });
    }
    if (isFirst) this.#restoreCrashState(now);
    this.stateChanged$.next();
  }

  /**
   * Restores blames and suspicions before followers get the routing, with which
   * gateways start to accept requests.
   */
  #restoreCrashState(monotonic: number): void {
    const rows = [...this.replicatedState().blamedRequests.values()];
    const timeOfDay = Date.now();
    this.crashes.restoreCrashes(
      [...this.replicatedState().crashes.values()]
        .filter(({ at }) => timeOfDay - at < SUSPICION_RETENTION_MILLISECONDS),
    );
    this.crashes.restoreSuspicions(
      [...this.replicatedState().suspectedRequests.values()]
        .filter(({ at }) => timeOfDay - at < SUSPICION_RETENTION_MILLISECONDS),
    );
    this.crashes.restoreBlames(
      rows.map((row) => blameFromRow(row, { timeOfDay, monotonic }))
        // Once its term is over, a blame waits for a trial run.
        .filter(({ endsAt, termMilliseconds }) =>
          endsAt + termMilliseconds > monotonic
        ),
    );
  }

  ageOfWeights(model: string, version: number): number {
    const now = monotonicMilliseconds();
    return now - (this.#namedVersions.findNamedAt(model, version) ?? now);
  }

  /** All known versions of a model, with the time since each was named. */
  namedAges(model: string): { version: number; ageMilliseconds: number }[] {
    const now = monotonicMilliseconds();
    return this.#namedVersions.all(model).map(({ version, namedAt }) => ({
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

  findBackend(instance: string): BackendAnnouncement | undefined {
    return this.#registry.get(instance);
  }

  /** See `BackendRegistry.leavingSince`. */
  leavingSince(instance: string): number | undefined {
    return this.#registry.leavingSince(instance);
  }

  /** All departures still remembered, also of unknown backend servers. */
  allDepartures(): DepartureMessage[] {
    const now = monotonicMilliseconds();
    return this.#registry.departures().map(({ departure, toldAt }) =>
      encodeDeparture(departure, now - toldAt)
    );
  }

  engineNotices(): EngineNotice[] {
    return [...this.#notices.values()];
  }

  /** Adds an announcement that a backend server sent to this host. */
  addLocalAnnouncement(announcement: BackendAnnouncement): void {
    const changed = this.#registry.merge(announcement, monotonicMilliseconds());
    const encoded = encodeBackend(announcement);
    // A plain heartbeat can wait for the batch. A change is published before
    // the backend server gets its answer.
    if (changed.length === 0) return this.#announcementBatcher.add(encoded);
    this.localBackends$.next([encoded]);
    this.#publishChanges(changed, "heard");
  }

  /**
   * Adds departures that backend servers reported to this host, or that its log
   * holds: followers are told at once, whoever confirms them later.
   */
  addOwnDepartures(departures: Departure[], how: string): void {
    const toldAt = monotonicMilliseconds();
    const { news, changed } = this.#depart(
      departures.map((departure) => ({ departure, toldAt })),
      how,
    );
    if (changed.length > 0) {
      this.localBackends$.next(changed.map(encodeBackend));
    }
    if (news.length > 0) this.ownDepartures$.next(news);
  }

  /** Adds departures that another control host knows. */
  addRemoteDepartures(
    told: { departure: Departure; toldAt: number }[],
  ): void {
    this.#depart(told, "passed-on");
  }

  /** Adds announcements that another control host received. */
  addRemoteAnnouncements(announcements: BackendAnnouncement[]): void {
    const now = monotonicMilliseconds();
    for (const announcement of announcements) {
      this.#publishChanges(
        this.#registry.merge(announcement, now),
        "passed-on",
      );
    }
  }

  /**
   * Adds a stager's notice, unless it is older than the known one: a stager's
   * earlier session may end after its next one has begun.
   */
  addEngineNotice(notice: EngineNotice): void {
    const known = this.#notices.get(notice.engineAddress);
    const isOld = known !== undefined && !known.agentGone &&
      known.sequence > notice.sequence;
    if (isOld) return;
    this.#notices.set(notice.engineAddress, notice);
    this.#noticeBatcher.add(notice);
  }

  /** Adds a load that a stager reported to this host. */
  addLocalLoad(load: EngineLoad): void {
    this.#localLoadBatcher.add(load);
    this.#loadBatcher.add(load);
  }

  /** Adds loads that another control host received. */
  addRemoteLoads(loads: EngineLoad[]): void {
    for (const load of loads) this.#loadBatcher.add(load);
  }

  #expire(): void {
    this.gateways.update();
    this.#publishChanges(
      this.#registry.expire(monotonicMilliseconds()),
      "silent",
    );
  }

  #depart(
    told: { departure: Departure; toldAt: number }[],
    how: string,
  ): { news: DepartureMessage[]; changed: BackendAnnouncement[] } {
    const now = monotonicMilliseconds();
    const news: DepartureMessage[] = [];
    const changed: BackendAnnouncement[] = [];
    for (const { departure, toldAt } of told) {
      const taken = this.#registry.depart(departure, { now, toldAt });
      changed.push(...taken.changed);
      if (!taken.isNew) continue;
      news.push(encodeDeparture(departure, now - toldAt));
      const { instance, state, sequence } = departure;
      this.#options.log.info("departure-known", {
        instance,
        state,
        sequence,
        how,
      });
    }
    if (news.length > 0) this.departures$.next(news);
    this.#publishChanges(changed, how);
    return { news, changed };
  }

  #publishChanges(changed: BackendAnnouncement[], how: string): void {
    if (changed.length === 0) return;
    for (const announcement of changed) {
      this.#options.log.info("backend-server-changed", {
        instance: announcement.instance,
        address: announcement.address,
        service: announcement.service,
        state: announcement.state,
        sequence: announcement.sequence,
        models: announcement.models.map(({ name, version }) =>
          `${name}@${version}`
        ).join(",") || "none",
        how,
      });
    }
    this.changed$.next(changed.map(encodeBackend));
  }
}

function batchByEngine<Value extends { engineAddress: string }>(
  milliseconds: number,
): LatestValueBatcher<Value> {
  return new LatestValueBatcher({
    milliseconds,
    keyOf: ({ engineAddress }) => engineAddress,
  });
}
