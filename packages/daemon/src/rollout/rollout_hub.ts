import type { ConnectRouter } from "@connectrpc/connect";
import { LoadPermits } from "@teaselrouter/core/rollout/load_permits.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import type { SpreadObjective } from "@teaselrouter/core/spread/spread_objective.ts";
import { PeerExchangePolicy } from "@teaselrouter/core/spread/peer_exchange_policy.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ChunkReport } from "@teaselrouter/messages/agent.ts";
import { AgentService } from "@teaselrouter/messages/agent.ts";
import type {
  EngineLoad,
  EngineNotice,
} from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import type { ManifestFetcher } from "./manifest_fetcher.ts";
import { SpreadCoordinator } from "./spread_coordinator.ts";
import { StagerSession } from "./stager_session.ts";

/**
 * Share of a data centre's engines that may stop serving at the same time to
 * load a version. With more, the remaining engines could not carry the load;
 * with fewer, the last engines would load too late.
 */
const MAX_LOADING_SHARE = 0.4;
/** Twice the time in which an engine drains and loads. */
const PERMIT_TIMEOUT_MILLISECONDS = 8_000;

type Options = {
  host: string;
  dataCentre: string;
  objective: SpreadObjective;
  manifests: ManifestFetcher;
  log: EventLog;
  controlAddresses: () => string[];
  publishNotice: (notice: EngineNotice) => void;
  publishLoad: (load: EngineLoad) => void;
  namedAges: (model: string) => { version: number; ageMilliseconds: number }[];
};

type DataCentreState = { coordinator: SpreadCoordinator; permits: LoadPermits };

/**
 * The control host's part in distributing weights to engines. Stagers choose
 * which control host plans for them. Each control host keeps a coordinator for
 * every data centre, so that it can take over when the nearest one is lost.
 */
export class RolloutHub {
  #options: Options;
  /** By data centre. */
  #states = new Map<string, DataCentreState>();
  /** The latest session of each stager, by backend server name. */
  #sessions = new Map<string, StagerSession>();

  constructor(options: Options) {
    this.#options = options;
    options.manifests.target$.subscribe(({ manifest }) => {
      for (const { coordinator } of this.#states.values()) {
        coordinator.addVersion(manifest);
        coordinator.keepVersions(this.#listTargetVersions());
      }
    });
  }

  stop(): void {
    for (const { coordinator } of this.#states.values()) coordinator.stop();
    for (const session of this.#sessions.values()) session.close();
  }

  routes(router: ConnectRouter): void {
    const { log } = this.#options;
    router.service(AgentService, {
      session: (messages) => {
        const session = new StagerSession({ ...this.#options, hub: this });
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.handleMessage(message);
        })();
        reading
          .catch((error) => log.debug("stager-lost", { reason: `${error}` }))
          .finally(() => session.close());
        return outgoing;
      },
    });
  }

  /**
   * Registers a session once its stager has announced itself, and closes an
   * earlier session of the same stager.
   */
  addSession(session: StagerSession): void {
    const { backendServer, dataCentre } = session.announcement!;
    this.#sessions.get(backendServer)?.close();
    this.#sessions.set(backendServer, session);
    const { chunkAddress, linkBytesPerSecond } = session.announcement!;
    this.#getOrCreateDataCentre(dataCentre);
    for (const { coordinator } of this.#states.values()) {
      coordinator.addHost({
        backendServer,
        dataCentre,
        chunkAddress,
        linkBytesPerSecond,
        send: (message) => session.outgoing$.next(message),
      });
    }
  }

  /**
   * Returns false, with no effect, if a later session of the same stager has
   * replaced this one or the stager never announced itself.
   */
  removeSession(session: StagerSession): boolean {
    const name = session.announcement?.backendServer ?? "";
    if (this.#sessions.get(name) !== session) return false;
    this.#sessions.delete(name);
    for (const { coordinator, permits } of this.#states.values()) {
      coordinator.removeHost(name);
      permits.release(name);
    }
    return true;
  }

  recordReport(session: StagerSession, report: ChunkReport): void {
    const { backendServer, dataCentre } = session.announcement!;
    for (const [name, { coordinator }] of this.#states) {
      const followsPlans = report.followsPlans && name === dataCentre;
      coordinator.recordReport(backendServer, { ...report, followsPlans });
    }
  }

  /**
   * Grants the session's stager a permit to load, unless too many engines of
   * its data centre have stopped serving to load already. Returns whether the
   * stager holds a permit.
   *
   * @param now monotonic milliseconds.
   */
  tryAcquirePermit(
    session: StagerSession,
    wasServing: boolean,
    now: number,
  ): boolean {
    const { backendServer, dataCentre } = session.announcement!;
    const hosts =
      [...this.#sessions.values()].filter((other) =>
        other.announcement?.dataCentre === dataCentre
      ).length;
    return this.#getOrCreateDataCentre(dataCentre).permits.tryAcquire(
      backendServer,
      {
        hosts,
        wasServing,
        now,
      },
    );
  }

  releasePermit(session: StagerSession): void {
    const { backendServer, dataCentre } = session.announcement!;
    this.#getOrCreateDataCentre(dataCentre).permits.release(backendServer);
  }

  #listTargetVersions(): Set<string> {
    const { targets } = this.#options.manifests;
    return new Set(targets.map(({ manifest }) => versionName(manifest)));
  }

  #getOrCreateDataCentre(dataCentre: string): DataCentreState {
    let state = this.#states.get(dataCentre);
    if (state === undefined) {
      state = this.#createDataCentre(dataCentre);
      this.#states.set(dataCentre, state);
    }
    return state;
  }

  #createDataCentre(dataCentre: string): DataCentreState {
    const { objective: objective, manifests } = this.#options;
    const coordinator = new SpreadCoordinator({
      dataCentre,
      policy: new PeerExchangePolicy({
        ...defaultSpreadOptions,
        objective,
        random: Math.random,
        ranking: new RarestRanking(),
      }),
    });
    for (const { manifest } of manifests.targets) {
      coordinator.addVersion(manifest);
    }
    for (const session of this.#sessions.values()) {
      const { announcement } = session;
      if (announcement === undefined) continue;
      coordinator.addHost({
        ...announcement,
        send: (message) => session.outgoing$.next(message),
      });
    }
    const permits = new LoadPermits({
      maxLoadingShare: MAX_LOADING_SHARE,
      permitTimeoutMilliseconds: PERMIT_TIMEOUT_MILLISECONDS,
    });
    return { coordinator, permits };
  }
}
