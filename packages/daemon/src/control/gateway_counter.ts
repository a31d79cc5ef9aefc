import { create } from "@bufbuild/protobuf";
import { GatewayCensus } from "@teaselrouter/core/cold/gateway_census.ts";
import type { GatewayView } from "@teaselrouter/core/cold/gateway_view.ts";
import {
  type GatewayPresence,
  type GatewayPresences,
  GatewayPresenceSchema,
  GatewayPresencesSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { LatestValueBatcher } from "./latest_value_batcher.ts";

/** A fraction of the second between two presences of a gateway. */
const FORWARD_BATCH_MILLISECONDS = 250;

type Options = {
  /** Whether a majority of control hosts has a leader that this one hears. */
  hasLeader: () => boolean;
};

/**
 * Counts the gateways that share the rates of cold backend servers, with what
 * other control hosts hear of them. Idle while no gateway announces itself.
 */
export class GatewayCounter {
  /** Presences that gateways sent to this host, for other control hosts. */
  readonly localPresences$ = new Subject<GatewayPresences>();
  /** Emits when the view that gateways are told has changed. */
  readonly changed$ = new Subject<void>();
  #options: Options;
  #census = new GatewayCensus();
  #view: GatewayView | undefined;
  #batcher = new LatestValueBatcher<GatewayPresence>({
    milliseconds: FORWARD_BATCH_MILLISECONDS,
    keyOf: ({ host }) => host,
  });

  constructor(options: Options) {
    this.#options = options;
    this.#batcher.batches$.subscribe((presences) =>
      this.localPresences$.next(create(GatewayPresencesSchema, { presences }))
    );
  }

  stop(): void {
    this.#batcher.stop();
  }

  /**
   * Adds the presence of a gateway that follows this host. Returns false if a
   * later one is known.
   */
  addLocalPresence(presence: GatewayPresence): boolean {
    const isLatest = this.#census.record(
      presence,
      0,
      monotonicMilliseconds(),
    );
    if (isLatest) this.#batcher.add(presence);
    return isLatest;
  }

  /** Adds presences that another control host received. */
  addRemotePresences({ presences }: GatewayPresences): void {
    const now = monotonicMilliseconds();
    for (const presence of presences) {
      this.#census.record(presence, presence.ageMilliseconds, now);
    }
  }

  /** All known presences, for a newly connected control host. */
  currentPresences(): GatewayPresences | undefined {
    if (this.#census.isEmpty) return undefined;
    const presences = this.#census.list(monotonicMilliseconds())
      .map(({ presence, ageMilliseconds }) =>
        create(GatewayPresenceSchema, { ...presence, ageMilliseconds })
      );
    return create(GatewayPresencesSchema, { presences });
  }

  /**
   * The gateways that a follower is to be told; undefined after a pause of this
   * process, and on a control host that is cut off from the others: those on
   * the far side may count its gateways as gone.
   */
  currentView(): GatewayView | undefined {
    const now = monotonicMilliseconds();
    if (!this.#options.hasLeader()) return undefined;
    return this.#census.isUpToDate(now) ? this.#census.view(now) : undefined;
  }

  /** To be called twice a second. */
  update(): void {
    const now = monotonicMilliseconds();
    this.#census.observe(now);
    if (this.#census.isEmpty) return;
    const view = this.#census.view(now);
    if (view === this.#view) return;
    this.#view = view;
    this.changed$.next();
  }
}
