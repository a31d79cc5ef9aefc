import { create } from "@bufbuild/protobuf";
import type { GatewayView } from "@teaselrouter/core/cold/gateway_view.ts";
import { ToldGateways } from "@teaselrouter/core/cold/told_gateways.ts";
import {
  type GatewayPresence,
  GatewayPresenceSchema,
  type GatewayView as EncodedGatewayView,
} from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ControlFeed } from "./control_feed.ts";

/** One second, less what timers may be early. */
const PRESENCE_INTERVAL_MILLISECONDS = 900;

type Options = {
  host: string;
  /** Smallest number of gateways to divide by. */
  minGateways: number;
  feed: ControlFeed;
  /** Sends a presence to all control hosts that are followed. */
  publish: (presence: GatewayPresence) => void;
  log: EventLog;
};

/** The gateways with which this one shares bounds, as control hosts tell it. */
export class GatewayCount {
  readonly gateways: ToldGateways;
  #options: Options;
  /** Last one of each control host, by address. */
  #views = new Map<string, GatewayView>();
  #presenceAt = -Infinity;
  #loggedCount: number | undefined;

  constructor(options: Options) {
    this.#options = options;
    const { host, minGateways, feed } = options;
    this.gateways = new ToldGateways({
      host,
      minGateways,
      timeOfDay: Date.now,
    });
    feed.gatewayViews$.subscribe(({ address, view }) =>
      this.#recordView(address, view)
    );
  }

  /** To be called twice a second. */
  observe(): void {
    const now = monotonicMilliseconds();
    this.#logCount(now);
    if (now - this.#presenceAt < PRESENCE_INTERVAL_MILLISECONDS) return;
    this.#publishPresence(now);
  }

  /** Gives up this gateway's part, for a planned stop. */
  leave(): void {
    this.gateways.leave();
    this.#publishPresence(monotonicMilliseconds());
  }

  #publishPresence(now: number): void {
    this.#presenceAt = now;
    const presence = this.gateways.createPresence(now);
    this.#options.publish(create(GatewayPresenceSchema, presence));
  }

  #recordView(address: string, encoded: EncodedGatewayView): void {
    const { sequence, unchanged, heard, unheard } = encoded;
    const view = unchanged ? this.#views.get(address) : { heard, unheard };
    if (view === undefined) return;
    this.#views.set(address, view);
    this.gateways.recordTold(view, sequence);
  }

  #logCount(now: number): void {
    const count = this.gateways.count(now);
    if (count === this.#loggedCount) return;
    this.#loggedCount = count;
    this.#options.log.info("gateways-counted", { gateways: count ?? "none" });
  }
}
