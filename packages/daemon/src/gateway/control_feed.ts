import { RouteTable } from "@teaselrouter/core/gateway/route_table.ts";
import { BackendRegistry } from "@teaselrouter/core/membership/backend_registry.ts";
import { KnownEvacuations } from "@teaselrouter/core/evacuations/known_evacuations.ts";
import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { ServerStart } from "@teaselrouter/core/crashes/server_start.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type {
  ControlUpdate,
  CrashNews,
  Departure,
  EngineLoad,
  EngineNotice,
  Evacuations,
  GatewayView,
  LimitNews,
  NamedWeights,
  RoutingDocument,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { RoutingDecoder } from "../platform/routing_decoder.ts";
import { decodeDeparture } from "../transport/decode_departure.ts";
import { decodeUsableBackends } from "../transport/decode_usable_backends.ts";
import type { FollowSet } from "../transport/follow_set.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * How long a backend server that is gone is remembered, so that a late update
 * doesn't bring it back.
 */
const GONE_RETENTION_MILLISECONDS = 60_000;

type BackendLookup = {
  live: readonly BackendAnnouncement[];
  byService: Map<string, BackendAnnouncement[]>;
  byAddress: Map<string, BackendAnnouncement>;
};

type Options = {
  followSet: FollowSet;
  decodeRouting: RoutingDecoder;
  log: EventLog;
};

/** State that the gateway has received from the control hosts. */
export class ControlFeed {
  readonly backends$ = new Subject<BackendAnnouncement[]>();
  /** Starts of engines, as the stagers on their hosts tell of them. */
  readonly engineStarts$ = new Subject<ServerStart>();
  /** Load of the engines, as read by the stagers on their hosts. */
  readonly loads$ = new Subject<EngineLoad[]>();
  /** Requests that crash the backend servers that run them. */
  readonly crashes$ = new Subject<CrashNews>();
  /** This host's parts of the limits that backend servers announce. */
  readonly limits$ = new Subject<LimitNews>();
  /** Gateways that share the rates of cold backend servers, with the sender. */
  readonly gatewayViews$ = new Subject<
    { address: string; view: GatewayView }
  >();
  /** Emits the backend servers of a data centre whose evacuation begins. */
  readonly evacuated$ = new Subject<BackendAnnouncement[]>();
  /**
   * Evacuations in force. A control host sends them before the configuration,
   * so that they are known once `isComplete` is true; one of a version without
   * evacuations sends none.
   */
  readonly evacuations = new KnownEvacuations();
  /** Emits after every update except engine loads and views of gateways. */
  readonly updates$ = new Subject<void>();
  #options: Options;
  #table: RouteTable | undefined;
  #configuredAt: number | undefined;
  #hasBackends = false;
  #registry = new BackendRegistry({
    // Control hosts report which backend servers are gone. A gateway cut off
    // from them keeps using those last known.
    silenceTimeoutMilliseconds: Infinity,
    goneRetentionMilliseconds: GONE_RETENTION_MILLISECONDS,
  });
  #lookup: BackendLookup | undefined;
  #engines = new Map<string, EngineNotice>();
  /** Versions of weights that operators named, and when. */
  readonly namedVersions = new NamedVersions();

  constructor(options: Options) {
    this.#options = options;
    options.followSet.updates$.subscribe(({ address, update }) => {
      const { body } = update;
      if (body.case === "gatewayView") {
        return this.gatewayViews$.next({ address, view: body.value });
      }
      this.#applyUpdate(update);
      if (body.case !== "loads") this.updates$.next();
    });
  }

  /** Latest configuration received; undefined before the first. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /**
   * When the first configuration was received, monotonic milliseconds;
   * undefined before.
   */
  get configuredAt(): number | undefined {
    return this.#configuredAt;
  }

  /**
   * Whether the configuration and a full list of backend servers are known, so
   * that requests can be routed.
   */
  get isComplete(): boolean {
    return this.#table !== undefined && this.#hasBackends;
  }

  backendsOf(service: string): readonly BackendAnnouncement[] {
    return this.#currentLookup().byService.get(service) ?? [];
  }

  backendAt(address: string): BackendAnnouncement | undefined {
    return this.#currentLookup().byAddress.get(address);
  }

  /** Whether the backend server has said that it leaves, or is gone. */
  hasDeparted(announcement: BackendAnnouncement): boolean {
    return this.#registry.hasDeparted(announcement);
  }

  /** Starts that are known at an address, of live processes. */
  listStarts(address: string): ServerStart[] {
    const backend = this.backendAt(address);
    const notice = this.engineAt(address);
    return [
      ...(backend === undefined ? [] : [backend]),
      ...(notice === undefined ? [] : [toServerStart(notice)]),
    ];
  }

  liveAddresses(): Set<string> {
    return new Set(this.#currentLookup().byAddress.keys());
  }

  /**
   * Latest notice of the stager on the engine's host; undefined if none is
   * connected.
   */
  engineAt(address: string): EngineNotice | undefined {
    return this.#engines.get(address);
  }

  expire(): void {
    this.#registry.expire(monotonicMilliseconds());
  }

  /** Index of the live backend servers, rebuilt only when they have changed. */
  #currentLookup(): BackendLookup {
    const live = this.#registry.live();
    if (this.#lookup?.live !== live) this.#lookup = indexBackends(live);
    return this.#lookup;
  }

  #applyUpdate({ body }: ControlUpdate): void {
    switch (body.case) {
      case "routing":
        return this.#applyRouting(body.value);
      case "backends":
        if (body.value.whole) this.#hasBackends = true;
        return this.#applyBackends(
          decodeUsableBackends(body.value.backends, this.#options.log),
        );
      case "departures":
        return this.#applyDepartures(body.value.departures);
      case "evacuations":
        return this.#applyEvacuations(body.value);
      case "weights":
        return this.#applyNamedWeights(body.value);
      case "engines":
        for (const notice of body.value.notices) this.#applyNotice(notice);
        return;
      case "crashes":
        return this.crashes$.next(body.value);
      case "limits":
        return this.limits$.next(body.value);
      case "loads":
        return this.loads$.next(body.value.loads);
    }
  }

  /** Only a later version replaces the current one: control hosts may lag. */
  #applyRouting({ version, document }: RoutingDocument): void {
    const { decodeRouting, log } = this.#options;
    const currentVersion = this.#table?.configuration.version ?? -1;
    if (version <= currentVersion) return;
    const decoded = decodeRouting(new TextDecoder().decode(document));
    if (decoded.isErr) {
      return log.error("routing-unreadable", {
        version,
        reason: decoded.error,
      });
    }
    this.#table = new RouteTable(decoded.value);
    this.#configuredAt ??= monotonicMilliseconds();
    log.info("routing-in-force", { version, before: currentVersion });
  }

  #applyBackends(announcements: BackendAnnouncement[]): void {
    const now = monotonicMilliseconds();
    this.#publishChanges(
      announcements.flatMap((announcement) =>
        this.#registry.merge(announcement, now)
      ),
    );
  }

  #applyDepartures(departures: Departure[]): void {
    const now = monotonicMilliseconds();
    this.#publishChanges(departures.flatMap((each) => {
      const { departure, toldAt } = decodeDeparture(each, now);
      return this.#registry.depart(departure, { now, toldAt }).changed;
    }));
  }

  #publishChanges(changed: BackendAnnouncement[]): void {
    if (changed.length === 0) return;
    for (const { instance, address, state, sequence } of changed) {
      this.#options.log.info("backend-server-changed", {
        instance,
        address,
        state,
        sequence,
      });
    }
    this.backends$.next(changed);
  }

  #applyEvacuations({ index, dataCentres }: Evacuations): void {
    const { log } = this.#options;
    const { begun, ended } = this.evacuations.replace({ index, dataCentres });
    for (const data_centre of ended) {
      log.info("evacuation-ended", { data_centre, index });
    }
    for (const data_centre of begun) {
      log.info("evacuation-in-force", { data_centre, index });
      this.evacuated$.next(
        this.#registry.live().filter((announcement) =>
          announcement.dataCentre === data_centre
        ),
      );
    }
  }

  #applyNamedWeights({ model, version, ageMilliseconds }: NamedWeights): void {
    const namedAt = monotonicMilliseconds() - ageMilliseconds;
    if (!this.namedVersions.add(model, { version, namedAt })) return;
    this.#options.log.info("weights-named", {
      model,
      version,
      age_milliseconds: Math.round(ageMilliseconds),
    });
  }

  #applyNotice(notice: EngineNotice): void {
    const known = this.#engines.get(notice.engineAddress);
    if (known !== undefined && known.sequence > notice.sequence) return;
    if (notice.agentGone) {
      return void this.#engines.delete(notice.engineAddress);
    }
    this.#engines.set(notice.engineAddress, notice);
    if (known?.engineBornAt !== notice.engineBornAt) {
      this.engineStarts$.next(toServerStart(notice));
    }
    // Every followed control host sends the same notice: log it once.
    if (known !== undefined && isSameNotice(known, notice)) return;
    this.#options.log.info("engine-notice", {
      address: notice.engineAddress,
      accepting: notice.accepting,
      version: notice.servingVersion || "none",
    });
  }
}

function toServerStart(
  { engineAddress, engineBornAt }: EngineNotice,
): ServerStart {
  return { address: engineAddress, instance: undefined, bornAt: engineBornAt };
}

function isSameNotice(left: EngineNotice, right: EngineNotice): boolean {
  return left.accepting === right.accepting &&
    left.servingVersion === right.servingVersion &&
    left.engineBornAt === right.engineBornAt;
}

function indexBackends(live: readonly BackendAnnouncement[]): BackendLookup {
  const byService = new Map<string, BackendAnnouncement[]>();
  const byAddress = new Map<string, BackendAnnouncement>();
  for (const announcement of live) {
    byAddress.set(announcement.address, announcement);
    const same = byService.get(announcement.service);
    if (same === undefined) byService.set(announcement.service, [announcement]);
    else same.push(announcement);
  }
  return { live, byService, byAddress };
}
