import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { EventLog } from "../log/event_log.ts";

/** What backend servers in need say that they take. */
export class NamedLimits {
  #log: EventLog;
  /** Requests a second, by start of a backend server. */
  #limits = new Map<string, number>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** An answer came from there. */
  hear(standing: BackendStanding, { limitPerSecond, isSigned }: AnswerFacts) {
    const incarnation = `${standing.instance}@${standing.bornAt}`;
    if (limitPerSecond === this.#limits.get(incarnation)) return;
    if (limitPerSecond === undefined && !isSigned) return;
    if (limitPerSecond === undefined) this.#limits.delete(incarnation);
    else this.#limits.set(incarnation, limitPerSecond);
    this.#log.info("limit-named", {
      instance: standing.instance,
      per_second: limitPerSecond ?? "any",
    });
  }
}
