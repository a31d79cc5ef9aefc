import { RouteTable } from "@teaselrouter/core/gateway/route_table.ts";
import { BackendRegistry } from "@teaselrouter/core/membership/backend_registry.ts";
import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type {
  ControlUpdate,
  CrashNews,
  EngineLoad,
  EngineNotice,
  LimitNews,
  NamedWeights,
  RoutingDocument,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { RoutingDecoder } from "../platform/routing_decoder.ts";
import { decodeBackend } from "../transport/decode_backend.ts";
import type { FollowSet } from "../transport/follow_set.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const FORGET_MILLISECONDS = 60_000;

type BackendLookup = {
  live: readonly BackendStanding[];
  byService: Map<string, BackendStanding[]>;
  byAddress: Map<string, BackendStanding>;
};

type Options = {
  follows: FollowSet;
  decodeRouting: RoutingDecoder;
  log: EventLog;
};

/** All that a gateway believes, as the control hosts told it. */
export class ControlFeed {
  readonly backends$ = new Subject<BackendStanding[]>();
  /** What agents beside engines saw of their load. */
  readonly loads$ = new Subject<EngineLoad[]>();
  /** Which requests end what runs them. */
  readonly crashes$ = new Subject<CrashNews>();
  /** What this host may send to backend servers in need. */
  readonly limits$ = new Subject<LimitNews>();
  /** Anything at all was heard. */
  readonly news$ = new Subject<void>();
  #options: Options;
  #table: RouteTable | undefined;
  #configuredAt: number | undefined;
  #hasBackends = false;
  #registry = new BackendRegistry({
    // Control hosts say who is gone; alone, what was known goes on.
    silentMilliseconds: Infinity,
    forgetMilliseconds: FORGET_MILLISECONDS,
  });
  #lookup: BackendLookup | undefined;
  #engines = new Map<string, EngineNotice>();
  /** Which versions of weights operators named, and when. */
  readonly namedVersions = new NamedVersions();

  constructor(options: Options) {
    this.#options = options;
    options.follows.updates$.subscribe(({ update }) => {
      this.#take(update);
      if (update.body.case !== "loads") this.news$.next();
    });
  }

  /** The newest configuration heard of; undefined before the first. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** When the first was heard of; undefined before. */
  get configuredAt(): number | undefined {
    return this.#configuredAt;
  }

  /** Whether requests can be placed at all. */
  get isComplete(): boolean {
    return this.#table !== undefined && this.#hasBackends;
  }

  backendsOf(service: string): readonly BackendStanding[] {
    return this.#lookUp().byService.get(service) ?? [];
  }

  backendAt(address: string): BackendStanding | undefined {
    return this.#lookUp().byAddress.get(address);
  }

  liveAddresses(): Set<string> {
    return new Set(this.#lookUp().byAddress.keys());
  }

  /** What the agent beside an engine said last; undefined without one. */
  engineAt(address: string): EngineNotice | undefined {
    return this.#engines.get(address);
  }

  forget(): void {
    this.#registry.expire(monotonicMilliseconds());
  }

  /** Made anew only when what is live has changed. */
  #lookUp(): BackendLookup {
    const live = this.#registry.live();
    if (this.#lookup?.live !== live) this.#lookup = indexBackends(live);
    return this.#lookup;
  }

  #take({ body }: ControlUpdate): void {
    switch (body.case) {
      case "routing":
        return this.#takeRouting(body.value);
      case "backends":
        if (body.value.whole) this.#hasBackends = true;
        return this.#takeBackends(body.value.backends.map(decodeBackend));
      case "weights":
        return this.#takeNamed(body.value);
      case "engines":
        for (const notice of body.value.notices) this.#takeEngine(notice);
        return;
      case "crashes":
        return this.crashes$.next(body.value);
      case "limits":
        return this.limits$.next(body.value);
      case "loads":
        return this.loads$.next(body.value.loads);
    }
  }

  /** Control hosts may lag: only a later version replaces what stands. */
  #takeRouting({ version, document }: RoutingDocument): void {
    const { decodeRouting, log } = this.#options;
    const standing = this.#table?.configuration.version ?? -1;
    if (version <= standing) return;
    const decoded = decodeRouting(new TextDecoder().decode(document));
    if (decoded.isErr) {
      return log.error("routing-unreadable", {
        version,
        reason: decoded.error,
      });
    }
    this.#table = new RouteTable(decoded.value);
    this.#configuredAt ??= monotonicMilliseconds();
    log.info("routing-in-force", { version, before: standing });
  }

  #takeBackends(standings: BackendStanding[]): void {
    const now = monotonicMilliseconds();
    const changed = standings.flatMap((standing) =>
      this.#registry.take(standing, now)
    );
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

  #takeNamed({ model, version, ageMilliseconds }: NamedWeights): void {
    const namedAt = monotonicMilliseconds() - ageMilliseconds;
    if (!this.namedVersions.add(model, { version, namedAt })) return;
    this.#options.log.info("weights-named", {
      model,
      version,
      age_milliseconds: Math.round(ageMilliseconds),
    });
  }

  #takeEngine(notice: EngineNotice): void {
    const known = this.#engines.get(notice.engineAddress);
    if (known !== undefined && known.sequence > notice.sequence) return;
    if (notice.agentGone) {
      return void this.#engines.delete(notice.engineAddress);
    }
    this.#engines.set(notice.engineAddress, notice);
    // Every control host that is followed tells the same.
    if (known !== undefined && saysTheSame(known, notice)) return;
    this.#options.log.info("engine-notice", {
      address: notice.engineAddress,
      accepting: notice.accepting,
      version: notice.servingVersion || "none",
    });
  }
}

function saysTheSame(left: EngineNotice, right: EngineNotice): boolean {
  return left.accepting === right.accepting &&
    left.servingVersion === right.servingVersion &&
    left.engineBornAt === right.engineBornAt;
}

function indexBackends(live: readonly BackendStanding[]): BackendLookup {
  const byService = new Map<string, BackendStanding[]>();
  const byAddress = new Map<string, BackendStanding>();
  for (const standing of live) {
    byAddress.set(standing.address, standing);
    const same = byService.get(standing.service);
    if (same === undefined) byService.set(standing.service, [standing]);
    else same.push(standing);
  }
  return { live, byService, byAddress };
}
