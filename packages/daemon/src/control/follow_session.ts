import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { evacuationsIndex } from "@teaselrouter/core/evacuations/evacuations_index.ts";
import { listEvacuations } from "@teaselrouter/core/evacuations/list_evacuations.ts";
import type {
  Backend,
  ControlUpdate,
  CrashNews,
  Departure,
  EngineNotice,
  FollowerHello,
  GatewayPresences,
  LimitNews,
} from "@teaselrouter/messages/follow.ts";
import {
  ControlUpdateSchema,
  type FollowerToControl,
} from "@teaselrouter/messages/follow.ts";
import { filter, merge, Subject, Subscription } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { GatewayTeller } from "./gateway_teller.ts";
import type { SharedView } from "./shared_view.ts";

/** A third of the 1,200 ms of silence after which a follower reconnects. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 400;
/**
 * A follower silent for longer is dropped. Without this, the session of a
 * disconnected follower would be kept, and written to, forever.
 */
const SILENCE_TIMEOUT_MILLISECONDS = 5_000;

/** The control host's side of one follower's stream. */
export class FollowSession {
  readonly outgoing$ = new Subject<ControlUpdate>();
  #view: SharedView;
  #lastMessageAt = monotonicMilliseconds();
  #hasSentControlHosts = false;
  #sentEvacuationsIndex = -1;
  #sentRoutingVersion = -1;
  #sentWeightVersions = new Map<string, number>();
  #subscriptions = new Subscription();
  #isControl = false;
  #wantsLoads = false;
  #gatewayTeller: GatewayTeller;
  #sentAt = monotonicMilliseconds();

  constructor(view: SharedView) {
    this.#view = view;
    this.#gatewayTeller = new GatewayTeller({
      counter: view.gateways,
      send: (value) => this.#send({ case: "gatewayView", value }),
    });
  }

  handleMessage(message: FollowerToControl): void {
    this.#lastMessageAt = monotonicMilliseconds();
    if (message.body.case === "hello") {
      this.#start(message.body.value);
    }
    if (message.body.case === "crashes") {
      this.#view.crashes.addLocalNews(message.body.value, this);
    }
    if (message.body.case === "limits") {
      this.#view.limits.addLocalNews(message.body.value);
    }
    if (message.body.case === "gateway") {
      this.#gatewayTeller.answer(message.body.value);
    }
    if (message.body.case === "heartbeat") {
      this.#wantsLoads = message.body.value.wantsLoads;
    }
  }

  close(): void {
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
    this.#view.crashes.endSession(this);
  }

  #start({ isControl, host }: FollowerHello): void {
    const view = this.#view;
    this.#isControl = isControl;
    this.#sendHeartbeat();
    this.#sendControlHosts();
    const departures = view.allDepartures();
    if (departures.length > 0) this.#sendDepartures(departures);
    this.#sendChangedState();
    this.#sendBackends(true, view.allBackends());
    this.#sendEngines(view.engineNotices());
    const backends$ = isControl ? view.localBackends$ : view.changed$;
    this.#subscriptions.add(
      backends$.subscribe((backends) => this.#sendBackends(false, backends)),
    );
    const departures$ = isControl ? view.ownDepartures$ : view.departures$;
    this.#subscriptions.add(
      departures$.subscribe((news) => this.#sendDepartures(news)),
    );
    this.#subscriptions.add(
      view.engines$.subscribe((notices) => this.#sendEngines(notices)),
    );
    const loads$ = isControl
      ? view.localLoads$
      : view.loads$.pipe(filter(() => this.#wantsLoads));
    this.#subscriptions.add(
      loads$.subscribe((loads) =>
        this.#send({ case: "loads", value: { loads } })
      ),
    );
    this.#startSendingCrashes(isControl);
    this.#startSendingLimits(isControl, host);
    this.#startSendingGateways(isControl);
    this.#subscriptions.add(
      view.stateChanged$.subscribe(() => this.#sendChangedState()),
    );
    this.#subscriptions.add(
      view.controlHostsChanged$.subscribe(() => this.#sendControlHosts()),
    );
    this.#subscriptions.add(
      view.heartbeatCheck$.subscribe(() => this.#checkHeartbeat()),
    );
  }

  #startSendingCrashes(isControl: boolean): void {
    const { crashes } = this.#view;
    const blames = crashes.currentBlames();
    if (blames !== undefined) this.#sendCrashes(blames);
    const suspicions = isControl ? undefined : crashes.currentSuspicions();
    if (suspicions !== undefined) this.#sendCrashes(suspicions);
    const reports$ = isControl ? crashes.localReports$ : crashes.suspicionNews$;
    this.#subscriptions.add(
      merge(crashes.blameNews$, reports$)
        .subscribe((news) => this.#sendCrashes(news)),
    );
  }

  #startSendingLimits(isControl: boolean, host: string): void {
    const { limits } = this.#view;
    const send = (news: LimitNews | undefined) => {
      if (news !== undefined) this.#send({ case: "limits", value: news });
    };
    const selector = limits.createUpdateSelector();
    send(
      isControl ? limits.currentDemands() : limits.selectParts(host, selector),
    );
    this.#subscriptions.add(
      isControl
        ? limits.localDemands$.subscribe(send)
        : limits.changed$.subscribe(() =>
          send(limits.selectParts(host, selector))
        ),
    );
  }

  #startSendingGateways(isControl: boolean): void {
    const { gateways } = this.#view;
    const send = (value: GatewayPresences | undefined) => {
      if (value !== undefined) this.#send({ case: "gateways", value });
    };
    if (isControl) send(gateways.currentPresences());
    this.#subscriptions.add(
      isControl
        ? gateways.localPresences$.subscribe(send)
        : gateways.changed$.subscribe(() => this.#gatewayTeller.tell()),
    );
  }

  /**
   * Closes the session of a silent follower, or sends a heartbeat if one is
   * due. Any other message to the follower counts as a heartbeat.
   */
  #checkHeartbeat(): void {
    const now = monotonicMilliseconds();
    if (
      now - this.#lastMessageAt > SILENCE_TIMEOUT_MILLISECONDS
    ) return this.close();
    if (
      now - this.#sentAt >= HEARTBEAT_INTERVAL_MILLISECONDS
    ) this.#sendHeartbeat();
  }

  #sendHeartbeat(): void {
    const { dataCentre } = this.#view;
    this.#send({ case: "heartbeat", value: { dataCentre } });
  }

  /** Those in the settings may be gone, and are told by no host's own log. */
  #sendControlHosts(): void {
    if (!this.#view.isCurrent) return;
    this.#hasSentControlHosts = true;
    const addresses = this.#view.controlAddresses();
    this.#send({ case: "controlHosts", value: { addresses } });
  }

  /**
   * Sends evacuations, routing and weights newer than those sent to this
   * follower. It routes requests once it has the routing, so that comes after
   * the evacuations. Control hosts have all of these from the log.
   */
  #sendChangedState(): void {
    if (!this.#view.isCurrent) return;
    if (!this.#hasSentControlHosts) this.#sendControlHosts();
    if (this.#isControl) return;
    this.#sendEvacuations();
    const { routing, namedWeights } = this.#view.replicatedState();
    if (routing !== undefined && routing.version > this.#sentRoutingVersion) {
      this.#sentRoutingVersion = routing.version;
      const { version } = routing;
      const document = this.#view.encodeRouting(routing);
      this.#send({ case: "routing", value: { version, document } });
    }
    for (const { model, version } of namedWeights.values()) {
      if ((this.#sentWeightVersions.get(model) ?? 0) >= version) continue;
      this.#sentWeightVersions.set(model, version);
      const ageMilliseconds = this.#view.ageOfWeights(model, version);
      const value = { model, version, ageMilliseconds };
      this.#send({ case: "weights", value });
    }
  }

  #sendEvacuations(): void {
    const state = this.#view.replicatedState();
    const index = evacuationsIndex(state);
    if (index <= this.#sentEvacuationsIndex) return;
    this.#sentEvacuationsIndex = index;
    const dataCentres = listEvacuations(state)
      .map(({ dataCentre }) => dataCentre);
    this.#send({ case: "evacuations", value: { index, dataCentres } });
  }

  #sendEngines(notices: EngineNotice[]): void {
    this.#send({ case: "engines", value: { notices } });
  }

  #sendCrashes(news: CrashNews): void {
    this.#send({ case: "crashes", value: news });
  }

  #sendDepartures(departures: Departure[]): void {
    this.#send({ case: "departures", value: { departures } });
  }

  #sendBackends(whole: boolean, backends: Backend[]): void {
    this.#send({ case: "backends", value: { whole, backends } });
  }

  #send(body: MessageInitShape<typeof ControlUpdateSchema>["body"]): void {
    this.#sentAt = monotonicMilliseconds();
    this.outgoing$.next(create(ControlUpdateSchema, { body }));
  }
}
