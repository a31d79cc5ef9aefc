import type { ConnectRouter } from "@connectrpc/connect";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import { Result } from "true-myth";
import type { EventLog } from "../log/event_log.ts";
import type { Closable } from "../platform/closable.ts";
import type { PlatformEdge } from "../platform/platform_edge.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { decodeBackend } from "../transport/decode_backend.ts";
import { FollowSet } from "../transport/follow_set.ts";
import { ManifestKeeper } from "../rollout/manifest_keeper.ts";
import { RolloutHub } from "../rollout/rollout_hub.ts";
import { ControlGate } from "./control_gate.ts";
import type { ControlHost } from "./control_host.ts";
import { followRoutes } from "./follow_routes.ts";
import { SharedView } from "./shared_view.ts";

const REVIEW_MILLISECONDS = 100;
/** Control hosts all hear each other: there are at most so many. */
const MOST_CONTROL_HOSTS = 10;

/** Of one suspicion, in the tables. */
const MOST_INCARNATIONS = 8;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  platform: PlatformEdge;
  started$: Observable<ControlHost>;
  control: () => ControlHost | undefined;
  logState: () => ControlState;
  controlAddresses: () => string[];
};

/** What a control host does for a platform besides keeping the log. */
export class PlatformDesk {
  readonly view: SharedView;
  #options: Options;
  #gate: ControlGate;
  #others: FollowSet;
  #manifests: ManifestKeeper;
  #rollout: RolloutHub;
  #server: Closable | undefined;
  #isCurrent = false;
  #toldAddresses = "";
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    const { settings, clients, log, platform, control } = options;
    const selfAddress = settings.internal.listen;
    this.#options = options;
    this.view = new SharedView({
      ...options,
      dataCentre: settings.data_centre,
      isCurrent: () => this.#isCurrent,
    });
    this.#gate = new ControlGate({
      control,
      leaderAddress: () => control()?.leaderAddress ?? "",
      selfAddress,
      view: this.view,
      clients,
      log,
      decodeRouting: platform.decodeRouting,
    });
    this.#manifests = new ManifestKeeper({
      store: platform.weightStore,
      log,
      namedVersion: (model) =>
        options.logState().namedWeights.get(model)?.version,
    });
    this.#rollout = new RolloutHub({
      host: settings.name,
      dataCentre: settings.data_centre,
      weighing: settings.control!.spread_weighing,
      manifests: this.#manifests,
      log,
      controlAddresses: options.controlAddresses,
      notice: (notice) => this.view.notice(notice),
      noteLoad: (load) => this.view.noteLoad(load),
      namedAges: (model) => this.view.namedAges(model),
    });
    this.#others = new FollowSet({
      hello: {
        host: settings.name,
        dataCentre: settings.data_centre,
        isControl: true,
      },
      selfAddress,
      seeds: settings.control!.founders.map(({ address }) => address),
      most: MOST_CONTROL_HOSTS,
      clients,
      log,
    });
    this.#others.updates$.subscribe(({ update }) => this.#learn(update));
    this.view.crashes.found$.subscribe((blame) => this.#keepBlame(blame));
    this.view.crashes.suspected$.subscribe((suspicion) =>
      this.#gate.keepSuspicion({
        ...suspicion,
        incarnations: suspicion.incarnations.slice(0, MOST_INCARNATIONS),
        at: Date.now(),
      })
    );
    this.view.crashes.lifted$.subscribe((fingerprint) =>
      this.#gate.liftBlame(fingerprint)
    );
    options.started$.subscribe((started) => {
      started.routing$.subscribe(() => this.#takeRouting());
    });
  }

  routes(router: ConnectRouter): void {
    const { log } = this.#options;
    followRoutes({ view: this.view, gate: this.#gate, log })(router);
    this.#rollout.routes(router);
  }

  async start(): Promise<Result<void, string>> {
    const { platform, settings } = this.#options;
    const { operations_listen } = settings.control!;
    this.#others.start();
    this.#timer = setInterval(
      () => this.#review(),
      REVIEW_MILLISECONDS,
    );
    if (operations_listen === undefined) return Result.ok(undefined);
    const server = await platform.serveOperations(
      operations_listen,
      this.#gate,
    );
    if (server.isErr) return Result.err(server.error);
    this.#server = server.value;
    return Result.ok(undefined);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#others.stop();
    this.view.stop();
    this.#manifests.stop();
    this.#rollout.stop();
    this.#server?.close();
  }

  /** Told to gateways already; without a leader it goes with this process. */
  async #keepBlame({ endsAt: _endsAt, ...blame }: Blame): Promise<void> {
    const isKept = await this.#gate.keepBlame({ ...blame, at: Date.now() });
    const { fingerprint } = blame;
    this.#options.log.info("blame-kept", { fingerprint, kept: isKept });
  }

  /** What backend servers and agents told another control host. */
  #learn({ body }: ControlUpdate): void {
    if (body.case === "backends") {
      this.view.learn(body.value.backends.map(decodeBackend));
    }
    if (body.case === "crashes") this.view.crashes.learn(body.value);
    if (body.case === "limits") this.view.limits.learn(body.value);
    if (body.case === "loads") this.view.learnLoads(body.value.loads);
  }

  /**
   * A host that starts again applies its log from the last snapshot on, and
   * may lack what was accepted while it was away. Told on as it goes, that
   * would show followers configurations long replaced: nothing is told until
   * this host has the first entry of a leader of now.
   */
  #takeRouting(): void {
    const { control, logState, platform, log } = this.#options;
    const isFirst = !this.#isCurrent;
    this.#isCurrent ||= control()?.isCaughtUp ?? false;
    if (!this.#isCurrent) return;
    this.view.noteLog({ isFirst });
    const { routing } = logState();
    if (routing === undefined) return;
    const decoded = platform.decodeRouting(routing.document);
    if (decoded.isOk) return this.#manifests.review(decoded.value);
    log.error("routing-unreadable", {
      version: routing.version,
      reason: decoded.error,
    });
  }

  /** With nothing new to apply, being current shows at a look. */
  #review(): void {
    if (!this.#isCurrent) this.#takeRouting();
    this.#noteHosts();
  }

  /** Followers and other control hosts hear of new members. */
  #noteHosts(): void {
    const addresses = this.#options.controlAddresses();
    const text = addresses.join(",");
    if (text === this.#toldAddresses) return;
    this.#toldAddresses = text;
    this.#others.learn(addresses);
    this.view.hosts$.next();
  }
}
