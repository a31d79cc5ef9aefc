import { DecayingRate } from "./decaying_rate.ts";

/** A burst shows within a second, and chance in a few requests doesn't. */
const ARRIVAL_WINDOW_MILLISECONDS = 2_000;
/** As the waits that follow a refusal, so that shares settle between them. */
const SERVED_WINDOW_MILLISECONDS = 10_000;
const INITIAL_HOLD_MILLISECONDS = 1_000;
const LATEST_HOLD_WEIGHT = 0.05;
const LATEST_DECISION_WEIGHT = 0.05;

/** What this host knows of the requests of one urgency to one service. */
export class UrgencyDemand {
  #arrivals: DecayingRate;
  #granted: DecayingRate;
  #asked: DecayingRate;
  #served: DecayingRate;
  #holdMilliseconds = INITIAL_HOLD_MILLISECONDS;
  #shortage = 0;

  /** @param startedAt since when this host gets requests, monotonic ms. */
  constructor(startedAt: number) {
    this.#arrivals = new DecayingRate(ARRIVAL_WINDOW_MILLISECONDS, startedAt);
    this.#granted = new DecayingRate(ARRIVAL_WINDOW_MILLISECONDS, startedAt);
    this.#asked = new DecayingRate(SERVED_WINDOW_MILLISECONDS, startedAt);
    this.#served = new DecayingRate(SERVED_WINDOW_MILLISECONDS, startedAt);
  }

  recordArrival(now: number): void {
    this.#arrivals.add(1, now);
    this.#asked.add(1, now);
  }

  /** Records one that is sent whatever room is left, for its workspace. */
  recordGranted(now: number): void {
    this.#granted.add(1, now);
  }

  recordServed(now: number): void {
    this.#served.add(1, now);
  }

  /** Records how long one of them held a slot. */
  recordHold(milliseconds: number): void {
    this.#holdMilliseconds += LATEST_HOLD_WEIGHT *
      (milliseconds - this.#holdMilliseconds);
  }

  /** Records whether one of them found too little room to be timely. */
  recordDecision(isShort: boolean): void {
    this.#shortage += LATEST_DECISION_WEIGHT *
      ((isShort ? 1 : 0) - this.#shortage);
  }

  /** How often they find too little room, 0 to 1. */
  get shortage(): number {
    return this.#shortage;
  }

  /** Slots that they would hold at any moment if all were served. */
  slotsAsked(now: number): number {
    return this.#arrivals.at(now) * this.#holdMilliseconds;
  }

  /** Of these, slots of requests that are sent whatever room is left. */
  slotsGranted(now: number): number {
    return this.#granted.at(now) * this.#holdMilliseconds;
  }

  /** Requests a millisecond. */
  asked(now: number): number {
    return this.#asked.at(now);
  }

  /** Requests a millisecond. */
  served(now: number): number {
    return this.#served.at(now);
  }
}
