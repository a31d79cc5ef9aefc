import type { ConnectRouter } from "@connectrpc/connect";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import { type Observable, switchMap } from "rxjs";
import { Result } from "true-myth";
import { CrashRecordProposals } from "../crashes/crash_record_proposals.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import type { Closable } from "../platform/closable.ts";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import { rememberDecoded } from "../platform/remember_decoded.ts";
import type { RoutingDecoder } from "../platform/routing_decoder.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { decodeDeparture } from "../transport/decode_departure.ts";
import { decodeUsableBackends } from "../transport/decode_usable_backends.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { FollowSet } from "../transport/follow_set.ts";
import { ManifestFetcher } from "../rollout/manifest_fetcher.ts";
import { RolloutHub } from "../rollout/rollout_hub.ts";
import { ControlOperationsHandler } from "./control_operations_handler.ts";
import type { ControlHost } from "./control_host.ts";
import { CrashKeeper } from "./crash_keeper.ts";
import { followRoutes } from "./follow_routes.ts";
import { SharedView } from "./shared_view.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
/** Control hosts all follow each other, so there are at most this many. */
const MAX_CONTROL_HOSTS = 10;

/** Incarnations stored for one suspicion in the replicated state. */
const MAX_INCARNATIONS = 8;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  platform: PlatformAdapter;
  started$: Observable<ControlHost>;
  control: () => ControlHost | undefined;
  replicatedState: () => ControlState;
  controlAddresses: () => string[];
  /** See `control.data_centres` of the settings. */
  listedDataCentres: () => readonly string[];
};

/**
 * Services of a control host besides the replicated log: the operations API,
 * updates to followers and the rollout of weights.
 */
export class PlatformServices {
  readonly view: SharedView;
  #options: Options;
  #decodeRouting: RoutingDecoder;
  #operations: ControlOperationsHandler;
  #otherControlHosts: FollowSet;
  #manifests: ManifestFetcher;
  #rollout: RolloutHub;
  #crashRecords: CrashRecordProposals;
  #crashKeeper: CrashKeeper;
  #server: Closable | undefined;
  /**
   * Whether `ControlHost.isCaughtUp` was found true since this process started.
   * Stays true when the leader is lost.
   */
  #isCurrent = false;
  #publishedAddresses = "";
  #toldVersion = -1;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, platform, control } = options;
    this.#decodeRouting = rememberDecoded(platform.decodeRouting);
    const selfAddress = settings.internal.listen;
    this.#options = options;
    this.view = new SharedView({
      ...options,
      dataCentre: settings.data_centre,
      isCurrent: () => this.#isCurrent,
      isLeading: () => control()?.isLeading(monotonicMilliseconds()) ?? false,
      hasLeader: () => (control()?.leaderAddress ?? "") !== "",
    });
    this.#operations = new ControlOperationsHandler({
      control,
      leaderAddress: () => control()?.leaderAddress ?? "",
      selfAddress,
      view: this.view,
      clients,
      log,
      decodeRouting: this.#decodeRouting,
      listedDataCentres: options.listedDataCentres,
    });
    this.#manifests = new ManifestFetcher({
      store: platform.weightStore,
      log,
      latestNamedVersion: (model) =>
        options.replicatedState().namedWeights.get(model)?.version,
    });
    this.#rollout = new RolloutHub({
      host: settings.name,
      dataCentre: settings.data_centre,
      objective: settings.control!.spread_weighing,
      manifests: this.#manifests,
      log,
      controlAddresses: options.controlAddresses,
      publishNotice: (notice) => this.view.addEngineNotice(notice),
      publishLoad: (load) => this.view.addLocalLoad(load),
      namedAges: (model) => this.view.namedAges(model),
    });
    this.#otherControlHosts = new FollowSet({
      hello: {
        host: settings.name,
        dataCentre: settings.data_centre,
        isControl: true,
      },
      selfAddress,
      seeds: settings.control!.founders.map(({ address }) => address),
      maxLinks: MAX_CONTROL_HOSTS,
      clients,
      log,
    });
    this.#otherControlHosts.updates$.subscribe(({ update }) =>
      this.#handleUpdate(update)
    );
    this.#crashRecords = new CrashRecordProposals({
      propose: (command) => this.#operations.commit(command),
      onCommitted: (command) => {
        if (command.kind !== "blame-request") return;
        const { fingerprint } = command;
        log.info("blame-kept", { fingerprint, kept: true });
      },
      onDropped: ({ kind }) => log.warn("blame-kept", { kind, kept: false }),
      leadership$: options.started$.pipe(
        switchMap((started) => started.leadership$),
      ),
    });
    this.#crashKeeper = new CrashKeeper({
      isLeading: () =>
        options.control()?.isLeading(monotonicMilliseconds()) ?? false,
      listUnkept: () =>
        this.view.crashes.listUnkeptCrashes(options.replicatedState().crashes),
      propose: (crash) =>
        this.#crashRecords.add(crash.incarnation, {
          kind: "record-crash",
          crash,
        }),
      isProposed: (incarnation) => this.#crashRecords.has(incarnation),
    });
    this.#subscribeToCrashes();
    options.started$.subscribe((started) => {
      started.configurationChanged$.subscribe(() => this.#applyRouting());
      this.view.addOwnDepartures(started.storedDepartures(), "stored");
      started.departures$.subscribe((departures) =>
        this.view.addOwnDepartures(departures, "stored")
      );
    });
  }

  routes(router: ConnectRouter): void {
    const { log } = this.#options;
    followRoutes({ view: this.view, operations: this.#operations, log })(
      router,
    );
    this.#rollout.routes(router);
  }

  async start(): Promise<Result<void, string>> {
    const { platform, settings } = this.#options;
    const { operations_listen } = settings.control!;
    this.#otherControlHosts.start();
    this.#timer = setInterval(
      () => this.#checkState(),
      CHECK_INTERVAL_MILLISECONDS,
    );
    if (operations_listen === undefined) return Result.ok(undefined);
    const server = await platform.serveOperations(
      operations_listen,
      this.#operations,
      this.#options.intake,
    );
    if (server.isErr) return Result.err(server.error);
    this.#server = server.value;
    return Result.ok(undefined);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#otherControlHosts.stop();
    this.view.stop();
    this.#manifests.stop();
    this.#rollout.stop();
    this.#crashKeeper.stop();
    this.#crashRecords.stop();
    this.#server?.close();
  }

  /** Has the log keep what is known, for after a power loss of all hosts. */
  #subscribeToCrashes(): void {
    const { crashes } = this.view;
    crashes.blamed$.subscribe(({ endsAt: _endsAt, ...blame }) => {
      const at = Date.now();
      const command = { kind: "blame-request" as const, ...blame, at };
      this.#crashRecords.add(blame.fingerprint, command);
    });
    crashes.suspected$.subscribe(({ fingerprint, incarnations: all }) =>
      this.#crashRecords.add(fingerprint, {
        kind: "suspect-request",
        fingerprint,
        incarnations: all.slice(0, MAX_INCARNATIONS),
        at: Date.now(),
      })
    );
    crashes.cleared$.subscribe((fingerprint) =>
      this.#crashRecords.add(fingerprint, { kind: "lift-blame", fingerprint })
    );
  }

  /**
   * Takes over what another control host received from backend servers,
   * gateways and stagers.
   */
  #handleUpdate({ body }: ControlUpdate): void {
    if (body.case === "backends") {
      this.view.addRemoteAnnouncements(
        decodeUsableBackends(body.value.backends, this.#options.log),
      );
    }
    if (body.case === "departures") {
      const now = monotonicMilliseconds();
      this.view.addRemoteDepartures(
        body.value.departures.map((each) => decodeDeparture(each, now)),
      );
    }
    if (body.case === "crashes") this.view.crashes.addRemoteNews(body.value);
    if (body.case === "limits") this.view.limits.addRemoteNews(body.value);
    if (body.case === "gateways") {
      this.view.gateways.addRemotePresences(body.value);
    }
    if (body.case === "loads") this.view.addRemoteLoads(body.value.loads);
  }

  /**
   * Publishes the replicated state once it is current. A restarted host applies
   * its log from the last snapshot on, and may lack what was committed while it
   * was offline. Publishing each step would send followers configurations that
   * were replaced long ago, so nothing is published until this host has applied
   * the first entry of the current leader.
   */
  #applyRouting(): void {
    const { control, replicatedState, log } = this.#options;
    const isFirst = !this.#isCurrent;
    this.#isCurrent ||= control()?.isCaughtUp ?? false;
    if (!this.#isCurrent) return;
    const startedAt = monotonicMilliseconds();
    this.view.handleStateChange({ isFirst });
    const { routing } = replicatedState();
    if (routing === undefined) return;
    this.#logTold(routing, monotonicMilliseconds() - startedAt);
    const decoded = this.#decodeRouting(routing.document);
    if (decoded.isOk) return this.#manifests.updateTargets(decoded.value);
    log.error("routing-unreadable", {
      version: routing.version,
      reason: decoded.error,
    });
  }

  /** How long a turn is for the followers is told for each version, once. */
  #logTold(
    { version, document }: { version: number; document: string },
    milliseconds: number,
  ): void {
    if (version === this.#toldVersion) return;
    this.#toldVersion = version;
    this.#options.log.info("routing-told", {
      version,
      characters: document.length,
      milliseconds: Math.round(milliseconds),
      leader: this.#options.control()?.leaderAddress || "none",
    });
  }

  /** Polls whether the state is current, as there may be nothing to apply. */
  #checkState(): void {
    if (!this.#isCurrent) this.#applyRouting();
    this.#publishControlHosts();
  }

  /** Publishes the control hosts if they changed; also follows new ones. */
  #publishControlHosts(): void {
    const addresses = this.#options.controlAddresses();
    const text = addresses.join(",");
    if (text === this.#publishedAddresses) return;
    this.#publishedAddresses = text;
    this.#otherControlHosts.setControlHosts(addresses);
    this.view.controlHostsChanged$.next();
  }
}
