import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type {
  Backend,
  ControlUpdate,
  CrashNews,
  EngineNotice,
  FollowerHello,
  LimitNews,
} from "@teaselrouter/messages/follow.ts";
import {
  ControlUpdateSchema,
  type FollowerToControl,
} from "@teaselrouter/messages/follow.ts";
import { filter, merge, Subject, Subscription } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { SharedView } from "./shared_view.ts";

/** A third of what a follower bears in silence. */
const HEARTBEAT_MILLISECONDS = 400;
/** A follower that was cut off would be kept for, and sent to, for ever. */
const SILENT_MILLISECONDS = 5_000;

/** The control side of one follower's stream. */
export class FollowSession {
  readonly outgoing$ = new Subject<ControlUpdate>();
  #view: SharedView;
  #heardAt = monotonicMilliseconds();
  #toldRouting = -1;
  #toldWeights = new Map<string, number>();
  #subscriptions = new Subscription();
  #wantsLoads = false;
  #saidAt = monotonicMilliseconds();

  constructor(view: SharedView) {
    this.#view = view;
  }

  take(message: FollowerToControl): void {
    this.#heardAt = monotonicMilliseconds();
    if (message.body.case === "hello") {
      this.#begin(message.body.value);
    }
    if (message.body.case === "crashes") {
      this.#view.crashes.hear(message.body.value);
    }
    if (message.body.case === "limits") {
      this.#view.limits.hear(message.body.value);
    }
    if (message.body.case === "heartbeat") {
      this.#wantsLoads = message.body.value.wantsLoads;
    }
  }

  close(): void {
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
  }

  #begin({ isControl, host }: FollowerHello): void {
    const view = this.#view;
    this.#sayAlive();
    this.#tellHosts();
    this.#tellLog();
    this.#tellBackends(true, view.allBackends());
    this.#tellEngines(view.engineNotices());
    const backends$ = isControl ? view.heardHere$ : view.changed$;
    this.#subscriptions.add(
      backends$.subscribe((backends) => this.#tellBackends(false, backends)),
    );
    this.#subscriptions.add(
      view.engines$.subscribe((notices) => this.#tellEngines(notices)),
    );
    const loads$ = isControl
      ? view.loadsHere$
      : view.loads$.pipe(filter(() => this.#wantsLoads));
    this.#subscriptions.add(
      loads$.subscribe((loads) =>
        this.#send({ case: "loads", value: { loads } })
      ),
    );
    this.#followCrashes(isControl);
    this.#followLimits(isControl, host);
    this.#subscriptions.add(view.log$.subscribe(() => this.#tellLog()));
    this.#subscriptions.add(view.hosts$.subscribe(() => this.#tellHosts()));
    this.#subscriptions.add(view.look$.subscribe(() => this.#beat()));
  }

  #followCrashes(isControl: boolean): void {
    const { crashes } = this.#view;
    const standing = crashes.standing();
    if (standing !== undefined) this.#tellCrashes(standing);
    const news$ = isControl
      ? merge(crashes.verdicts$, crashes.heardHere$)
      : crashes.verdicts$;
    this.#subscriptions.add(
      news$.subscribe((news) => this.#tellCrashes(news)),
    );
  }

  #followLimits(isControl: boolean, host: string): void {
    const { limits } = this.#view;
    const tell = (news: LimitNews | undefined) => {
      if (news !== undefined) this.#send({ case: "limits", value: news });
    };
    const due = limits.openDue();
    tell(isControl ? limits.standing() : limits.partsOf(host, due));
    this.#subscriptions.add(
      isControl
        ? limits.heardHere$.subscribe(tell)
        : limits.changed$.subscribe(() => tell(limits.partsOf(host, due))),
    );
  }

  /** Whatever else is said shows as well that this host is there. */
  #beat(): void {
    const now = monotonicMilliseconds();
    if (now - this.#heardAt > SILENT_MILLISECONDS) return this.close();
    if (now - this.#saidAt >= HEARTBEAT_MILLISECONDS) this.#sayAlive();
  }

  #sayAlive(): void {
    const { dataCentre } = this.#view;
    this.#send({ case: "heartbeat", value: { dataCentre } });
  }

  #tellHosts(): void {
    const addresses = this.#view.controlAddresses();
    this.#send({ case: "controlHosts", value: { addresses } });
  }

  /** Only what is newer than what this follower was told. */
  #tellLog(): void {
    if (!this.#view.isCurrent) return;
    const { routing, namedWeights } = this.#view.logState();
    if (routing !== undefined && routing.version > this.#toldRouting) {
      this.#toldRouting = routing.version;
      const document = new TextEncoder().encode(routing.document);
      const { version } = routing;
      this.#send({ case: "routing", value: { version, document } });
    }
    for (const { model, version } of namedWeights.values()) {
      if ((this.#toldWeights.get(model) ?? 0) >= version) continue;
      this.#toldWeights.set(model, version);
      const ageMilliseconds = this.#view.ageOfWeights(model, version);
      const value = { model, version, ageMilliseconds };
      this.#send({ case: "weights", value });
    }
  }

  #tellEngines(notices: EngineNotice[]): void {
    this.#send({ case: "engines", value: { notices } });
  }

  #tellCrashes(news: CrashNews): void {
    this.#send({ case: "crashes", value: news });
  }

  #tellBackends(whole: boolean, backends: Backend[]): void {
    this.#send({ case: "backends", value: { whole, backends } });
  }

  #send(body: MessageInitShape<typeof ControlUpdateSchema>["body"]): void {
    this.#saidAt = monotonicMilliseconds();
    this.outgoing$.next(create(ControlUpdateSchema, { body }));
  }
}
