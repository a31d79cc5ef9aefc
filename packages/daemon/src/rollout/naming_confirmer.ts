import type { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { pause } from "../transport/pause.ts";

/** Doubles from one question to the next. */
const RETRY_MILLISECONDS = 200;
const MOST_QUESTIONS = 5;

type NamedAge = { confirmed: boolean; ageMilliseconds: number };

type Options = {
  named: NamedVersions;
  /** Asks one that may know; rejects where it does not answer. */
  ask: (model: string, version: number) => Promise<NamedAge>;
  log: EventLog;
};

/**
 * Finds out when a version was named. News of it may have waited anywhere on
 * its way; an answer is no older than its question, so that whatever it waits
 * for only makes the naming look earlier than it was, which is safe.
 */
export class NamingConfirmer {
  #options: Options;
  #stopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Asks a few times until it is known; never rejects. */
  async confirm(model: string, version: number): Promise<void> {
    const { named } = this.#options;
    for (let asked = 0; asked < MOST_QUESTIONS; asked += 1) {
      if (this.#stopped || named.isConfirmed(model, version)) return;
      if (await this.#confirmOnce(model, version)) return;
      await pause(RETRY_MILLISECONDS * 2 ** asked);
    }
  }

  async #confirmOnce(model: string, version: number): Promise<boolean> {
    const { named, ask, log } = this.#options;
    const askedAt = monotonicMilliseconds();
    try {
      const { confirmed, ageMilliseconds } = await ask(model, version);
      if (!confirmed) return false;
      named.confirm(model, { version, namedAt: askedAt - ageMilliseconds });
      log.info("weights-naming-confirmed", {
        model,
        version,
        age_milliseconds: Math.round(ageMilliseconds),
      });
      return true;
    } catch (error) {
      log.debug("weights-naming-unconfirmed", { reason: `${error}` });
      return false;
    }
  }
}
