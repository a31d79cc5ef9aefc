import { COLD_FLEET } from "./cold_fleet_setup_fixture.ts";
import { ColdServerGate } from "./cold_server_gate.ts";
import type { GatewayPresence } from "./gateway_presence.ts";
import { NewsWatch } from "./news_watch.ts";
import { ToldGateways } from "./told_gateways.ts";

const PRESENCE_MILLISECONDS = 1_000;

/** Simulated time, milliseconds, from which to which something lasts. */
type Span = { from: number; to: number };

type Clock = { readonly time: number; readonly random: () => number };

/** One gateway: times at which it is cut off or stands still, and its clock. */
export class SimulatedGateway {
  readonly name: string;
  follows: number[];
  cut: Span | undefined;
  frozen: Span | undefined;
  /** Whether the frozen machine's monotonic clock stands still as well. */
  stopsClock = false;
  endsAt = Infinity;
  nextPresenceAt: number;
  gate: ColdServerGate;
  told: ToldGateways;
  #news: NewsWatch;
  #clock: Clock;

  constructor(clock: Clock, name: string, follows: number[]) {
    this.#clock = clock;
    this.name = name;
    this.follows = follows;
    this.nextPresenceAt = clock.time + PRESENCE_MILLISECONDS * clock.random();
    const timeOfDay = () => COLD_FLEET.timeOfDay + clock.time;
    this.told = new ToldGateways({
      host: name,
      minGateways: COLD_FLEET.minGateways,
      timeOfDay,
    });
    this.#news = new NewsWatch(timeOfDay, clock.time);
    this.gate = new ColdServerGate({
      host: name,
      bound: COLD_FLEET.bound,
      division: this.told,
      coldStartOf: () => COLD_FLEET.coldStart,
      news: this.#news,
      timeOfDay,
      startedAt: clock.time,
      onCold: () => {},
      onBoundedSend: () => {},
    });
  }

  get now(): number {
    const { frozen, stopsClock } = this;
    const hasWoken = frozen !== undefined && this.#clock.time >= frozen.to;
    return this.#clock.time -
      (hasWoken && stopsClock ? frozen.to - frozen.from : 0);
  }

  get isCut(): boolean {
    return isWithin(this.#clock.time, this.cut);
  }

  get isFrozen(): boolean {
    return isWithin(this.#clock.time, this.frozen);
  }

  stayInTouch(): void {
    this.#news.recordContact(this.now);
  }

  createPresence(): GatewayPresence {
    this.nextPresenceAt += PRESENCE_MILLISECONDS;
    return this.told.createPresence(this.now);
  }

  trySend(): boolean {
    if (!this.gate.admits(COLD_FLEET.server, this.now)) return false;
    this.gate.countSend(COLD_FLEET.server, this.now);
    return true;
  }
}

function isWithin(time: number, span: Span | undefined): boolean {
  return span !== undefined && time >= span.from && time < span.to;
}
