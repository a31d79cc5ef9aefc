import { hashText } from "../random/hash_text.ts";
import type { GatewayPresence } from "./gateway_presence.ts";
import type { GatewayView } from "./gateway_view.ts";

/** Three presences of a gateway, which sends one a second. */
const SILENCE_MILLISECONDS = 3_000;
/**
 * A gateway that was told nothing sends cold backend servers requests for up to
 * `TELLING_TERM_MILLISECONDS`; the rest is for clocks that differ.
 */
const RETENTION_MILLISECONDS = 31 * 60_000;
/** Longest pause between two observations of a process that runs. */
const MAX_PAUSE_MILLISECONDS = 1_000;

type Row = GatewayPresence & { key: number; heardAt: number };

/**
 * Counts the gateways that share the rate of cold backend servers, as one
 * control host knows them. Load pattern: gateways are started and ended by the
 * dozen, or cut off, while backend servers are cold.
 *
 * A gateway that is not heard may go on with the part that it had: the others
 * are told of it apart and leave it out of what they share. Merging what other
 * control hosts know is commutative and idempotent.
 */
export class GatewayCensus {
  /** In ascending order of `key`. */
  #rows = new Map<string, Row>();
  #view: GatewayView = { heard: [], unheard: [] };
  #observedAt = -Infinity;
  #behindUntil = -Infinity;

  get isEmpty(): boolean {
    return this.#rows.size === 0;
  }

  /**
   * Takes in what a gateway said `ageMilliseconds` ago, here or at another
   * control host. Returns false if it has said something else since.
   */
  record(
    { host, sequence, gateways }: GatewayPresence,
    ageMilliseconds: number,
    now: number,
  ): boolean {
    if (ageMilliseconds > RETENTION_MILLISECONDS) return false;
    const heardAt = now - ageMilliseconds;
    const known = this.#rows.get(host);
    if (known === undefined) {
      this.#add({ host, key: hashText(host), sequence, gateways, heardAt });
      return true;
    }
    known.heardAt = Math.max(known.heardAt, heardAt);
    if (sequence < known.sequence) return false;
    if (sequence > known.sequence) Object.assign(known, { sequence, gateways });
    return true;
  }

  /** What gateways are told; the same object until it changes. */
  view(now: number): GatewayView {
    const heard: number[] = [];
    const unheard: number[] = [];
    for (const { key, heardAt, gateways } of this.#rows.values()) {
      if (now - heardAt <= SILENCE_MILLISECONDS) heard.push(key);
      else if (gateways > 0) unheard.push(gateways);
    }
    const view = { heard, unheard };
    if (!isSame(view, this.#view)) this.#view = view;
    return this.#view;
  }

  /** All that is known, for another control host. */
  list(now: number): { presence: GatewayPresence; ageMilliseconds: number }[] {
    return [...this.#rows.values()].map(
      ({ heardAt, host, sequence, gateways }) => ({
        presence: { host, sequence, gateways },
        ageMilliseconds: now - heardAt,
      }),
    );
  }

  /**
   * Whether gateways may be told the view: not by a process that has stood
   * still, until those that it didn't hear meanwhile are connected again.
   */
  isUpToDate(now: number): boolean {
    return now >= this.#behindUntil &&
      now - this.#observedAt <= MAX_PAUSE_MILLISECONDS;
  }

  /**
   * Takes in that this process runs, and forgets gateways that can't send any
   * more; to be called twice a second.
   */
  observe(now: number): void {
    const hasPaused = Number.isFinite(this.#observedAt) &&
      now - this.#observedAt > MAX_PAUSE_MILLISECONDS;
    if (hasPaused) this.#behindUntil = now + SILENCE_MILLISECONDS;
    this.#observedAt = now;
    for (const [host, { heardAt }] of [...this.#rows]) {
      if (now - heardAt > RETENTION_MILLISECONDS) this.#rows.delete(host);
    }
  }

  #add(row: Row): void {
    const rows = [...this.#rows.values(), row]
      .sort((left, right) => left.key - right.key);
    this.#rows = new Map(rows.map((each) => [each.host, each]));
  }
}

function isSame(left: GatewayView, right: GatewayView): boolean {
  return isSameList(left.heard, right.heard) &&
    isSameList(left.unheard, right.unheard);
}

function isSameList(left: readonly number[], right: readonly number[]) {
  return left.length === right.length &&
    left.every((value, index) => value === right[index]);
}
