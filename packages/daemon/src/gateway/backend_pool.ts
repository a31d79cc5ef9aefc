import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import type { LoadEstimate } from "@teaselrouter/core/gateway/load_estimate.ts";
import { chooseBackend } from "@teaselrouter/core/gateway/choose_backend.ts";
import { updateAssumedLoad } from "@teaselrouter/core/gateway/update_assumed_load.ts";
import type { DispatchTerms } from "@teaselrouter/core/dispatch/dispatch_terms.ts";
import type { PlacedRequest } from "@teaselrouter/core/dispatch/placed_request.ts";
import type { EngineDefinition } from "@teaselrouter/core/gateway/engine_definition.ts";
import { pickHomeBackends } from "@teaselrouter/core/gateway/pick_home_backends.ts";
import { SlotPressure } from "@teaselrouter/core/gateway/slot_pressure.ts";
import { weightsMargins } from "@teaselrouter/core/rollout/weights_margins.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { EngineLoad } from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlFeed } from "./control_feed.ts";
import type { NamedLimits } from "./named_limits.ts";
import type { ServerPushbacks } from "./server_pushbacks.ts";

/**
 * Age of a load report on arrival: from a stager's query of its engine to the
 * gateway that receives it.
 */
const LOAD_REPORT_AGE_MILLISECONDS = 100;

type BackendQuery = PlacedRequest & {
  /** Id of the client's attempt. */
  id: string;
  /** Whether the request is then sent; false only asks whether it could be. */
  willSend: boolean;
  service: string;
  engine: EngineDefinition | undefined;
  model: string | undefined;
  promptTokens: number;
  /** Instances that the request was already sent to. */
  tried: ReadonlySet<string>;
  /** Required version of the weights; undefined for any. */
  weightsVersion: number | undefined;
};

type HomeSelection = {
  /** Backend servers that `home` was picked from. */
  announcements: readonly BackendAnnouncement[];
  home: ReadonlySet<string>;
};

type Options = {
  feed: ControlFeed;
  /** This host's own name. */
  host: string;
  dataCentre: string;
  /**
   * Once a version has been named for this long, no request may begin on older
   * weights.
   */
  weightsBoundMilliseconds: number;
  dispatch: Pick<DispatchTerms, "places" | "gate">;
  namedLimits: NamedLimits;
  pushbacks: ServerPushbacks;
  /** Since when this process reads without a stall. */
  listening: { readonly since: number };
  /** Emits backend servers whose process was found to have ended. */
  endedServers$: Observable<BackendAnnouncement>;
};

/** Chooses among the backend servers and keeps a record of each. */
export class BackendPool {
  #options: Options;
  #records = new Map<string, BackendRecord>();
  /**
   * When the process that a record describes started, Unix milliseconds, by
   * instance.
   */
  #bornAt = new Map<string, number>();
  #pressures = new Map<string, SlotPressure>();
  #homes = new Map<string, HomeSelection>();

  constructor(options: Options) {
    this.#options = options;
    options.feed.backends$.subscribe((changed) => {
      for (const announcement of changed) this.#resetIfRestarted(announcement);
    });
    options.endedServers$.subscribe((announcement) =>
      this.#ejectEnded(announcement)
    );
    options.feed.loads$.subscribe((loads) => this.#applyLoads(loads));
  }

  /**
   * Drops the record of an instance that is gone or was restarted under its id.
   */
  #resetIfRestarted({ instance, state, bornAt }: BackendAnnouncement): void {
    const known = this.#bornAt.get(instance);
    const isNewStart = known !== undefined && known !== bornAt;
    if (state === "gone" || isNewStart) this.#records.delete(instance);
    if (state === "gone") this.#bornAt.delete(instance);
    else this.#bornAt.set(instance, bornAt);
  }

  /**
   * Ejects a backend server at once when its process has ended: its missing
   * heartbeats show only seconds later.
   */
  #ejectEnded({ instance, bornAt }: BackendAnnouncement): void {
    if (this.#bornAt.get(instance) !== bornAt) return;
    this.recordOf(instance).eject(monotonicMilliseconds());
  }

  recordOf(instance: string): BackendRecord {
    let record = this.#records.get(instance);
    if (record === undefined) {
      record = new BackendRecord(this.#options.listening);
      this.#records.set(instance, record);
    }
    return record;
  }

  /** How often a service's requests find no free slot, as seen by this host. */
  pressureOf(service: string): SlotPressure {
    let pressure = this.#pressures.get(service);
    if (pressure === undefined) {
      pressure = new SlotPressure();
      this.#pressures.set(service, pressure);
    }
    return pressure;
  }

  /** Best eligible backend server for a request; undefined if there is none. */
  choose(query: BackendQuery): BackendCandidate | undefined {
    return this.chooseAmong(this.listUsable(query), query);
  }

  /**
   * Best of the given candidates; undefined if their limits are used up.
   *
   * @param load how their loads are compared; as reported if not given.
   */
  chooseAmong(
    usable: BackendCandidate[],
    query: BackendQuery,
    load?: LoadEstimate,
  ): BackendCandidate | undefined {
    const best = this.#chooseBest(usable, query, load);
    const isLimited = best !== undefined &&
      this.#options.namedLimits.isLimited(best.announcement);
    return isLimited ? this.#chooseWithinLimits(usable, query, load) : best;
  }

  /**
   * Best eligible backend server whose limit admits a request now; the others
   * are passed over.
   */
  #chooseWithinLimits(
    usable: BackendCandidate[],
    query: BackendQuery,
    load?: LoadEstimate,
  ): BackendCandidate | undefined {
    const { namedLimits } = this.#options;
    let remaining = usable;
    const passedOver: BackendCandidate[] = [];
    while (true) {
      const best = this.#chooseBest(remaining, query, load);
      // A backend server that is ejected, silent or half-open is no substitute
      // for a limited one: the client is rather informed when to retry.
      const isLastResort = passedOver.length > 0 && best !== undefined &&
        !best.record.isAvailable(monotonicMilliseconds());
      if (isLastResort) return undefined;
      const isAdmitted = best === undefined ||
        (query.willSend
          ? namedLimits.requestAdmission(best.announcement)
          : namedLimits.hasCapacity(best.announcement));
      if (isAdmitted) {
        if (!query.willSend) return best;
        for (const { announcement } of passedOver) {
          namedLimits.logPassedOver(query.id, announcement, best?.announcement);
        }
        return best;
      }
      passedOver.push(best);
      remaining = remaining.filter((candidate) => candidate !== best);
    }
  }

  /**
   * Milliseconds until the limit of one of the eligible backend servers admits
   * a request; undefined if none of them announced a limit.
   */
  millisecondsUntilCapacity(query: BackendQuery): number | undefined {
    const { namedLimits } = this.#options;
    const waits = this.listUsable(query)
      .filter(({ announcement }) => namedLimits.isLimited(announcement))
      .map(({ announcement }) =>
        namedLimits.millisecondsUntilCapacity(announcement)
      );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /**
   * Milliseconds until one of the eligible backend servers that are cold may get
   * a request; undefined if none of them is bounded now.
   */
  millisecondsUntilColdPlace(query: BackendQuery): number | undefined {
    const { feed, pushbacks, dispatch } = this.#options;
    const now = monotonicMilliseconds();
    const waits = feed.backendsOf(query.service)
      .filter((announcement) =>
        this.#isEligible(announcement, query) && pushbacks.admits(announcement)
      )
      .map((announcement) =>
        dispatch.gate.millisecondsUntilAdmission(announcement, now)
      )
      .filter((wait) => wait > 0);
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Eligible backend servers that accept no request from this host now. */
  listPushingBack(query: BackendQuery): BackendAnnouncement[] {
    const { feed, pushbacks } = this.#options;
    return feed.backendsOf(query.service).filter((announcement) =>
      this.#isEligible(announcement, query) && !pushbacks.admits(announcement)
    );
  }

  /**
   * Whether the request's service has a server in a region where it may be
   * served.
   */
  hasAllowedPlace(query: BackendQuery): boolean {
    const { feed, dispatch } = this.#options;
    if (query.permittedRegions === undefined) return true;
    return feed.backendsOf(query.service).some((announcement) =>
      announcement.state === "ready" &&
      dispatch.places.allows(announcement, query)
    );
  }

  /**
   * Whether all backend servers of the service that could get requests are in
   * evacuated data centres.
   */
  isEvacuated({ service }: Pick<BackendQuery, "service">): boolean {
    const { feed } = this.#options;
    const ready = feed.backendsOf(service)
      .filter(({ state }) => state === "ready");
    return ready.length > 0 &&
      ready.every(({ dataCentre }) => feed.evacuations.has(dataCentre));
  }

  /** Eligible backend servers that accept requests from this host now. */
  listUsable(query: BackendQuery): BackendCandidate[] {
    const { feed, pushbacks, dispatch, namedLimits } = this.#options;
    const now = monotonicMilliseconds();
    const usable = feed.backendsOf(query.service)
      .filter((announcement) =>
        this.#isEligible(announcement, query) &&
        pushbacks.admits(announcement) &&
        dispatch.gate.admits(announcement, now)
      )
      .map((announcement) => ({
        announcement,
        record: this.recordOf(announcement.instance),
        limitPerSecond: namedLimits.perSecondOf(announcement),
      }));
    updateAssumedLoad(usable, now);
    return usable;
  }

  #chooseBest(
    usable: BackendCandidate[],
    query: BackendQuery,
    load?: LoadEstimate,
  ): BackendCandidate | undefined {
    const now = monotonicMilliseconds();
    const healthy = usable.filter(({ record }) => record.isAvailable(now));
    // With all of them ejected, as when a service has three and a fault hits
    // their data centre, an attempt that may fail is better than a certain
    // refusal. Not so where the only ones allowed are silent, as beyond a cut
    // link: the client would wait in vain, and others can't take over.
    const isBound = query.permittedRegions !== undefined;
    const lastResort = isBound
      ? usable.filter(({ record }) => !record.isSilent(now))
      : usable;
    return chooseBackend(healthy.length > 0 ? healthy : lastResort, {
      dataCentre: this.#options.dataCentre,
      promptTokens: query.promptTokens,
      engine: query.engine,
      home: this.#homeOf(query.service),
      random: Math.random,
      ...(load !== undefined && { load }),
      now,
    });
  }

  /**
   * Instances that this host prefers; picked again only when the service's
   * backend servers have changed.
   */
  #homeOf(service: string): ReadonlySet<string> {
    const announcements = this.#options.feed.backendsOf(service);
    const known = this.#homes.get(service);
    if (known?.announcements === announcements) return known.home;
    const home = pickHomeBackends(announcements, this.#options);
    this.#homes.set(service, { announcements, home });
    return home;
  }

  #applyLoads(loads: EngineLoad[]): void {
    const now = monotonicMilliseconds();
    for (const { engineAddress, running, waiting } of loads) {
      const announcement = this.#options.feed.backendAt(engineAddress);
      if (announcement === undefined) continue;
      const report = { running, waiting, slots: announcement.slots };
      const record = this.recordOf(announcement.instance);
      record.recordReport(report, now, LOAD_REPORT_AGE_MILLISECONDS);
    }
  }

  #isEligible(announcement: BackendAnnouncement, query: BackendQuery): boolean {
    if (
      announcement.state !== "ready" || query.tried.has(announcement.instance)
    ) {
      return false;
    }
    const { feed, dispatch } = this.#options;
    if (!dispatch.places.allows(announcement, query)) return false;
    const notice = feed.engineAt(announcement.address);
    if (notice !== undefined && !notice.accepting) return false;
    if (query.model === undefined) return true;
    return this.#hasUsableWeights(
      announcement,
      query.model,
      query.weightsVersion,
    );
  }

  /**
   * Whether a request may begin on the engine's weights. An engine that is
   * empty or loading holds no complete model.
   */
  #hasUsableWeights(
    announcement: BackendAnnouncement,
    model: string,
    version: number | undefined,
  ): boolean {
    const held = this.#heldVersion(announcement, model);
    if (held === undefined) return false;
    if (version !== undefined) return held === version;
    const endsAt = this.#weightsExpireAt(model, held);
    return monotonicMilliseconds() <
      endsAt - weightsMargins.requestStartMilliseconds;
  }

  /**
   * Until when a request may begin on the engine's weights, monotonic
   * milliseconds; Infinity while no later version is named.
   */
  weightsUsableUntil(announcement: BackendAnnouncement, model: string): number {
    const held = this.#heldVersion(announcement, model);
    return held === undefined ? Infinity : this.#weightsExpireAt(model, held);
  }

  #weightsExpireAt(model: string, held: number): number {
    const { feed, weightsBoundMilliseconds } = this.#options;
    return feed.namedVersions.supersededAt(model, held) +
      weightsBoundMilliseconds - weightsMargins.namingDelayMilliseconds;
  }

  /**
   * Version that the engine serves; undefined for none. A notice about this
   * start from the stager on the engine's host takes precedence: it comes
   * sooner than the backend server's next heartbeat.
   */
  #heldVersion(
    announcement: BackendAnnouncement,
    model: string,
  ): number | undefined {
    const notice = this.#options.feed.engineAt(announcement.address);
    const isOfThisStart = notice !== undefined &&
      notice.engineBornAt === announcement.bornAt;
    if (!isOfThisStart) {
      return announcement.models.find(({ name }) => name === model)?.version;
    }
    const prefix = `${model}@`;
    return notice.servingVersion.startsWith(prefix)
      ? Number(notice.servingVersion.slice(prefix.length))
      : undefined;
  }
}
