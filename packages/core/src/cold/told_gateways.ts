import { hashText } from "../random/hash_text.ts";
import type { ColdPart } from "./cold_part.ts";
import type { ColdRateDivision } from "./cold_rate_division.ts";
import { countGateways } from "./count_gateways.ts";
import { findColdPart } from "./find_cold_part.ts";
import type { GatewayPresence } from "./gateway_presence.ts";
import type { GatewayView } from "./gateway_view.ts";

/**
 * A larger part, and the first one, is used only after this time in which no
 * smaller one was told. Longer than it takes until every other gateway was told
 * of this one, or is known to be cut off: 3 s of silence, and twice up to a
 * second from host to host.
 */
const HOLD_MILLISECONDS = 5_500;
/** After a longer gap this gateway may have been taken for one that is cut off. */
const MAX_GAP_MILLISECONDS = 2_500;
/**
 * A presence also holds for answers to those sent within this time after it:
 * other control hosts may lose them when the one that answered ends.
 */
const PRESENCE_TERM_MILLISECONDS = 2_000;
/** Without being told anything for longer, cold servers are sent nothing. */
const TELLING_TERM_MILLISECONDS = 30 * 60_000;
/** Answers of control hosts to older presences are of no use. */
const PRESENCE_RETENTION_MILLISECONDS = 60_000;
/** Nothing was told: no part. */
const NOTHING: GatewayView = { heard: [], unheard: [] };

type Moment = { monotonic: number; timeOfDay: number };
type Told = { at: number; view: GatewayView; gateways: number };

type Options = {
  /** This gateway's name. */
  host: string;
  /** Smallest number of gateways to divide by, whatever is told. */
  minGateways: number;
  /** Unix milliseconds. Monotonic clocks stand still in a suspended machine. */
  timeOfDay: () => number;
};

/**
 * The gateways with which this one shares the rate of cold backend servers.
 * Load pattern: their number grows tenfold within a second, also while this one
 * is cut off.
 *
 * Control hosts tell them in answer to a presence of this gateway, and what is
 * told counts as of when that was sent: late news don't pass for fresh. A part
 * becomes smaller at once and larger after a time. A gateway that is cut off
 * keeps its part, which control hosts allow for, and gives it up in the end.
 */
export class ToldGateways implements ColdRateDivision {
  #options: Options;
  #own: number;
  #sequence = 0;
  #sentAt = new Map<number, Moment>();
  /** What holds together; a part is the smallest of all of them. */
  #told: Told[] = [];
  #latest: Moment = { monotonic: -Infinity, timeOfDay: -Infinity };
  #views: GatewayView[] = [];
  #gateways = Infinity;
  #version = 0;
  #hasLeft = false;

  constructor(options: Options) {
    this.#options = options;
    this.#own = hashText(options.host);
  }

  get version(): number {
    return this.#version;
  }

  /** What control hosts are to be sent, once a second. */
  createPresence(now: number): GatewayPresence {
    const { host, timeOfDay: readTimeOfDay } = this.#options;
    const timeOfDay = readTimeOfDay();
    this.#sequence = Math.max(this.#sequence + 1, Math.floor(timeOfDay));
    this.#sentAt.set(this.#sequence, { monotonic: now, timeOfDay });
    for (const [sequence, { monotonic }] of this.#sentAt) {
      if (now - monotonic <= PRESENCE_RETENTION_MILLISECONDS) break;
      this.#sentAt.delete(sequence);
    }
    const since = now + PRESENCE_TERM_MILLISECONDS - HOLD_MILLISECONDS;
    const lasting = this.#told.filter(({ at }) => at > since);
    const least = mostGateways(lasting.length === 0 ? this.#told : lasting);
    const hasPart = Number.isFinite(least) && !this.#hasLeft;
    const gateways = hasPart ? this.#atLeastMinimum(least) : 0;
    return { host, sequence: this.#sequence, gateways };
  }

  /** Gives up this gateway's part, for a planned stop. */
  leave(): void {
    this.#hasLeft = true;
  }

  /** Takes in a control host's answer to the presence with this sequence. */
  recordTold(view: GatewayView, sequence: number): void {
    const sentAt = this.#sentAt.get(sequence);
    if (sentAt === undefined) return;
    const at = sentAt.monotonic;
    if (at - this.#latest.monotonic > MAX_GAP_MILLISECONDS) this.#holdAll(at);
    if (at > this.#latest.monotonic) this.#latest = sentAt;
    this.#told.push({ at, view, gateways: countGateways(view) });
    const since = this.#latest.monotonic - HOLD_MILLISECONDS;
    this.#told = this.#told.filter((told) => told.at > since);
    this.#gateways = mostGateways(this.#told);
    this.#replaceViews(new Set(this.#told.map((told) => told.view)));
  }

  count(now: number): number | undefined {
    const { monotonic, timeOfDay } = this.#latest;
    const age = Math.max(
      now - monotonic,
      this.#options.timeOfDay() - timeOfDay,
    );
    const isKnown = age <= TELLING_TERM_MILLISECONDS && !this.#hasLeft &&
      Number.isFinite(this.#gateways);
    return isKnown ? this.#atLeastMinimum(this.#gateways) : undefined;
  }

  findPart(instance: string, slots: number): ColdPart {
    const gateways = this.#atLeastMinimum(this.#gateways);
    const least = this.#views.reduce(
      (requests, view) =>
        Math.min(
          requests,
          findColdPart(view, { slots, instance, own: this.#own }),
        ),
      Math.max(1, Math.floor(slots / gateways)),
    );
    return { requests: least, gateways: Math.min(gateways, slots) };
  }

  /** Keeps what holds now for as long as if it had been told just then. */
  #holdAll(at: number): void {
    this.#told = this.#told.length === 0
      ? [{ at, view: NOTHING, gateways: Infinity }]
      : this.#told.map((told) => ({ ...told, at }));
  }

  #replaceViews(views: Set<GatewayView>): void {
    const isSame = views.size === this.#views.length &&
      this.#views.every((view) => views.has(view));
    if (isSame) return;
    this.#views = [...views];
    this.#version += 1;
  }

  #atLeastMinimum(gateways: number): number {
    return Math.max(gateways, this.#options.minGateways);
  }
}

function mostGateways(told: Told[]): number {
  if (told.length === 0) return Infinity;
  return told.reduce((most, { gateways }) => Math.max(most, gateways), 0);
}
