import type { Decider } from "./decider.ts";
import type { Decision } from "./decision.ts";

/** Each engine in turn, first come first served, nothing refused here. */
export class NaiveDecider implements Decider {
  #engines: number;
  #next: number;

  constructor(engines: number, random: () => number) {
    this.#engines = engines;
    this.#next = Math.floor(random() * engines);
  }

  decide(): Decision {
    this.#next = (this.#next + 1) % this.#engines;
    return { kind: "send", engine: this.#next, rank: 1 };
  }

  noteFirstEvent(): void {}
  noteEnd(): void {}
  noteRejected(): void {}
  hearLoad(): void {}
}
