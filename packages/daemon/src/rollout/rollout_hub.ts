import type { ConnectRouter } from "@connectrpc/connect";
import { LoadTurns } from "@teaselrouter/core/rollout/load_turns.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import type { SpreadWeighing } from "@teaselrouter/core/spread/spread_weighing.ts";
import { SwapPolicy } from "@teaselrouter/core/spread/swap_policy.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ChunkReport } from "@teaselrouter/messages/agent.ts";
import { AgentService } from "@teaselrouter/messages/agent.ts";
import type {
  EngineLoad,
  EngineNotice,
} from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import type { ManifestKeeper } from "./manifest_keeper.ts";
import { SpreadCoordinator } from "./spread_coordinator.ts";
import { StagerSession } from "./stager_session.ts";

/**
 * Out at once in a data centre while a version is loaded: with more, the
 * others could not carry the load; with fewer, the last would be late.
 */
const OUT_SHARE = 0.4;
/** Twice what an engine takes to end its work and to load. */
const TURN_MILLISECONDS = 8_000;

type Options = {
  host: string;
  dataCentre: string;
  weighing: SpreadWeighing;
  manifests: ManifestKeeper;
  log: EventLog;
  controlAddresses: () => string[];
  notice: (notice: EngineNotice) => void;
  noteLoad: (load: EngineLoad) => void;
  namedAges: (model: string) => { version: number; ageMilliseconds: number }[];
};

type Centre = { coordinator: SpreadCoordinator; turns: LoadTurns };

/**
 * A control host's side of bringing weights to engines. Stagers choose which
 * control host plans for them; this one keeps a plan for every data centre,
 * so that it can take over where the nearest is lost.
 */
export class RolloutHub {
  #options: Options;
  #centres = new Map<string, Centre>();
  /** The newest session of each stager. */
  #sessions = new Map<string, StagerSession>();

  constructor(options: Options) {
    this.#options = options;
    options.manifests.target$.subscribe(({ manifest }) => {
      for (const { coordinator } of this.#centres.values()) {
        coordinator.addVersion(manifest);
        coordinator.keepVersions(this.#versions());
      }
    });
  }

  stop(): void {
    for (const { coordinator } of this.#centres.values()) coordinator.stop();
    for (const session of this.#sessions.values()) session.close();
  }

  routes(router: ConnectRouter): void {
    const { log } = this.#options;
    router.service(AgentService, {
      session: (messages) => {
        const session = new StagerSession({ ...this.#options, hub: this });
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.take(message);
        })();
        reading
          .catch((error) => log.debug("stager-lost", { reason: `${error}` }))
          .finally(() => session.close());
        return outgoing;
      },
    });
  }

  /** A stager said who it is; an earlier session of it has no say any more. */
  addSession(session: StagerSession): void {
    const { backendServer, dataCentre } = session.announcement!;
    this.#sessions.get(backendServer)?.close();
    this.#sessions.set(backendServer, session);
    const { chunkAddress, linkBytesPerSecond } = session.announcement!;
    this.#centreOf(dataCentre);
    for (const { coordinator } of this.#centres.values()) {
      coordinator.addHost({
        backendServer,
        dataCentre,
        chunkAddress,
        linkBytesPerSecond,
        send: (message) => session.outgoing$.next(message),
      });
    }
  }

  removeSession(session: StagerSession): boolean {
    const name = session.announcement?.backendServer ?? "";
    if (this.#sessions.get(name) !== session) return false;
    this.#sessions.delete(name);
    for (const { coordinator, turns } of this.#centres.values()) {
      coordinator.removeHost(name);
      turns.end(name);
    }
    return true;
  }

  takeReport(session: StagerSession, report: ChunkReport): void {
    const { backendServer, dataCentre } = session.announcement!;
    for (const [name, { coordinator }] of this.#centres) {
      const followsPlans = report.followsPlans && name === dataCentre;
      coordinator.takeReport(backendServer, { ...report, followsPlans });
    }
  }

  takeTurn(session: StagerSession, wasServing: boolean, now: number): boolean {
    const { backendServer, dataCentre } = session.announcement!;
    const hosts =
      [...this.#sessions.values()].filter((other) =>
        other.announcement?.dataCentre === dataCentre
      ).length;
    return this.#centreOf(dataCentre).turns.take(backendServer, {
      hosts,
      wasServing,
      now,
    });
  }

  endTurn(session: StagerSession): void {
    const { backendServer, dataCentre } = session.announcement!;
    this.#centreOf(dataCentre).turns.end(backendServer);
  }

  #versions(): Set<string> {
    const { targets } = this.#options.manifests;
    return new Set(targets.map(({ manifest }) => versionName(manifest)));
  }

  #centreOf(dataCentre: string): Centre {
    let centre = this.#centres.get(dataCentre);
    if (centre === undefined) {
      centre = this.#openCentre(dataCentre);
      this.#centres.set(dataCentre, centre);
    }
    return centre;
  }

  #openCentre(dataCentre: string): Centre {
    const { weighing, manifests } = this.#options;
    const coordinator = new SpreadCoordinator({
      dataCentre,
      policy: new SwapPolicy({
        ...defaultSpreadOptions,
        weighing,
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
    const turns = new LoadTurns({
      outShare: OUT_SHARE,
      turnMilliseconds: TURN_MILLISECONDS,
    });
    return { coordinator, turns };
  }
}
