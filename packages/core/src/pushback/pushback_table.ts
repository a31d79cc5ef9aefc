import { ServerPushback } from "./server_pushback.ts";

/**
 * Pushback of backend servers by incarnation, that is by one start of one of
 * them: a server that starts anew, or another one at the same address, begins
 * without any.
 *
 * An incarnation that is reported gone keeps its entry. The report can be wrong,
 * for example after lost heartbeats, and the same incarnation can return.
 */
export class PushbackTable {
  #random: () => number;
  #entries = new Map<string, ServerPushback>();

  /** @param random uniform in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Undefined while the incarnation accepts requests as usual. */
  find(incarnation: string): ServerPushback | undefined {
    return this.#entries.get(incarnation);
  }

  open(incarnation: string): ServerPushback {
    let pushback = this.#entries.get(incarnation);
    if (pushback === undefined) {
      pushback = new ServerPushback(this.#random);
      this.#entries.set(incarnation, pushback);
    }
    return pushback;
  }

  /** Drops the entries that keep no request away any more. */
  expire(now: number): void {
    for (const [incarnation, pushback] of [...this.#entries]) {
      if (pushback.isOver(now)) this.#entries.delete(incarnation);
    }
  }
}
