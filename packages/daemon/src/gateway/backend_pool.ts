import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import { chooseBackend } from "@teaselrouter/core/gateway/choose_backend.ts";
import { noteUsualLoad } from "@teaselrouter/core/gateway/note_usual_load.ts";
import type { EngineDefinition } from "@teaselrouter/core/gateway/engine_definition.ts";
import { pickHomeBackends } from "@teaselrouter/core/gateway/pick_home_backends.ts";
import { SlotPressure } from "@teaselrouter/core/gateway/slot_pressure.ts";
import { weightsMargins } from "@teaselrouter/core/rollout/weights_margins.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { EngineLoad } from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlFeed } from "./control_feed.ts";
import type { NamedLimits } from "./named_limits.ts";

/** From an agent's look at its engine to a gateway that hears of it. */
const LOADS_AGE_MILLISECONDS = 100;

type Want = {
  /** The request's. */
  id: string;
  /** Whether it will be sent there, and not only asked whether it could. */
  forSending: boolean;
  service: string;
  engine: EngineDefinition | undefined;
  model: string | undefined;
  promptTokens: number;
  /** Instances that this request was sent to. */
  tried: ReadonlySet<string>;
  /** Only weights of this version; undefined for any. */
  weightsVersion: number | undefined;
};

type Home = {
  /** Of which it was picked. */
  standings: readonly BackendStanding[];
  home: ReadonlySet<string>;
};

type Options = {
  feed: ControlFeed;
  /** This host's own name. */
  host: string;
  dataCentre: string;
  /** So long after a version is named no request may begin on an older one. */
  weightsBoundMilliseconds: number;
  namedLimits: NamedLimits;
  /** Backend servers that were found to have ended. */
  endedServers$: Observable<BackendStanding>;
};

/** The backend servers that requests can go to, with their records. */
export class BackendPool {
  #options: Options;
  #records = new Map<string, BackendRecord>();
  /** Start that each record is of, Unix milliseconds, by instance. */
  #bornAt = new Map<string, number>();
  #pressures = new Map<string, SlotPressure>();
  #homes = new Map<string, Home>();

  constructor(options: Options) {
    this.#options = options;
    options.feed.backends$.subscribe((changed) => {
      for (const standing of changed) this.#dropPast(standing);
    });
    options.endedServers$.subscribe((standing) => this.#noteEnded(standing));
    options.feed.loads$.subscribe((loads) => this.#takeLoads(loads));
  }

  /** One that starts anew under its id has nothing of its past. */
  #dropPast({ instance, state, bornAt }: BackendStanding): void {
    const known = this.#bornAt.get(instance);
    const isNewStart = known !== undefined && known !== bornAt;
    if (state === "gone" || isNewStart) this.#records.delete(instance);
    if (state === "gone") this.#bornAt.delete(instance);
    else this.#bornAt.set(instance, bornAt);
  }

  /** Its heartbeats are missed only seconds later. */
  #noteEnded({ instance, bornAt }: BackendStanding): void {
    if (this.#bornAt.get(instance) !== bornAt) return;
    this.recordOf(instance).leaveAside(monotonicMilliseconds());
  }

  recordOf(instance: string): BackendRecord {
    let record = this.#records.get(instance);
    if (record === undefined) {
      record = new BackendRecord();
      this.#records.set(instance, record);
    }
    return record;
  }

  /** How often a service's requests find no free slot, as seen here. */
  pressureOf(service: string): SlotPressure {
    let pressure = this.#pressures.get(service);
    if (pressure === undefined) {
      pressure = new SlotPressure();
      this.#pressures.set(service, pressure);
    }
    return pressure;
  }

  /** The best that may take the request; undefined when there is none. */
  choose(want: Want): BackendChoice | undefined {
    const usable = this.#usable(want);
    noteUsualLoad(usable, monotonicMilliseconds());
    const best = this.#best(usable, want);
    const isLimited = best !== undefined &&
      this.#options.namedLimits.isLimited(best.standing);
    return isLimited ? this.#withinLimits(usable, want) : best;
  }

  /** Who has no room now is passed over for the next best. */
  #withinLimits(
    usable: BackendChoice[],
    want: Want,
  ): BackendChoice | undefined {
    const { namedLimits } = this.#options;
    let left = usable;
    const passedOver: BackendChoice[] = [];
    while (true) {
      const best = this.#best(left, want);
      // One that was left aside is no place with room: better to be told when.
      const isLastResort = passedOver.length > 0 && best !== undefined &&
        !best.record.isPromising(monotonicMilliseconds());
      if (isLastResort) return undefined;
      const isAdmitted = best === undefined ||
        (want.forSending
          ? namedLimits.admits(best.standing)
          : namedLimits.mayAdmit(best.standing));
      if (isAdmitted) {
        if (!want.forSending) return best;
        for (const { standing } of passedOver) {
          namedLimits.notePassedOver(want.id, standing, best?.standing);
        }
        return best;
      }
      passedOver.push(best);
      left = left.filter((choice) => choice !== best);
    }
  }

  /**
   * When one of those that name a limit has room next, milliseconds from now;
   * undefined when none that could take it names one.
   */
  untilRoom(want: Want): number | undefined {
    const { namedLimits } = this.#options;
    const waits = this.#usable(want)
      .filter(({ standing }) => namedLimits.isLimited(standing))
      .map(({ standing }) => namedLimits.untilRoom(standing));
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  #usable(want: Want): BackendChoice[] {
    return this.#options.feed.backendsOf(want.service)
      .filter((standing) => this.#mayTake(standing, want))
      .map((standing) => ({
        standing,
        record: this.recordOf(standing.instance),
      }));
  }

  #best(usable: BackendChoice[], want: Want): BackendChoice | undefined {
    const now = monotonicMilliseconds();
    const healthy = usable.filter(({ record }) => record.isPromising(now));
    // With all of them aside, as where a service has three and a fault hits
    // their zone, a try that may fail is worth more than a sure refusal.
    return chooseBackend(healthy.length > 0 ? healthy : usable, {
      dataCentre: this.#options.dataCentre,
      promptTokens: want.promptTokens,
      engine: want.engine,
      home: this.#homeOf(want.service),
      random: Math.random,
      now,
    });
  }

  /** Picked anew only when the service's backend servers have changed. */
  #homeOf(service: string): ReadonlySet<string> {
    const standings = this.#options.feed.backendsOf(service);
    const known = this.#homes.get(service);
    if (known?.standings === standings) return known.home;
    const home = pickHomeBackends(standings, this.#options);
    this.#homes.set(service, { standings, home });
    return home;
  }

  #takeLoads(loads: EngineLoad[]): void {
    const now = monotonicMilliseconds();
    for (const { engineAddress, running, waiting } of loads) {
      const standing = this.#options.feed.backendAt(engineAddress);
      if (standing === undefined) continue;
      const report = { running, waiting, slots: standing.slots };
      const record = this.recordOf(standing.instance);
      record.takeReport(report, now, LOADS_AGE_MILLISECONDS);
    }
  }

  #mayTake(standing: BackendStanding, want: Want): boolean {
    if (standing.state !== "ready" || want.tried.has(standing.instance)) {
      return false;
    }
    const notice = this.#options.feed.engineAt(standing.address);
    if (notice !== undefined && !notice.accepting) return false;
    if (want.model === undefined) return true;
    return this.#holds(standing, want.model, want.weightsVersion);
  }

  /** An empty engine, or one that is loading, holds no whole model. */
  #holds(
    standing: BackendStanding,
    model: string,
    version: number | undefined,
  ): boolean {
    const held = this.#heldVersion(standing, model);
    if (held === undefined) return false;
    if (version !== undefined) return held === version;
    const endsAt = this.#weightsEndAt(model, held);
    return monotonicMilliseconds() < endsAt - weightsMargins.beginMilliseconds;
  }

  /**
   * Until when a request may begin on what this engine holds; Infinity while
   * no later version is named.
   */
  mayBeginUntil(standing: BackendStanding, model: string): number {
    const held = this.#heldVersion(standing, model);
    return held === undefined ? Infinity : this.#weightsEndAt(model, held);
  }

  #weightsEndAt(model: string, held: number): number {
    const { feed, weightsBoundMilliseconds } = this.#options;
    return feed.namedVersions.overtakenAt(model, held) +
      weightsBoundMilliseconds - weightsMargins.giveUpMilliseconds;
  }

  /** The agent beside it knows sooner than the next heartbeat says. */
  #heldVersion(standing: BackendStanding, model: string): number | undefined {
    const notice = this.#options.feed.engineAt(standing.address);
    const isOfThisStart = notice !== undefined &&
      notice.engineBornAt === standing.bornAt;
    if (!isOfThisStart) {
      return standing.models.find(({ name }) => name === model)?.version;
    }
    const prefix = `${model}@`;
    return notice.servingVersion.startsWith(prefix)
      ? Number(notice.servingVersion.slice(prefix.length))
      : undefined;
  }
}
