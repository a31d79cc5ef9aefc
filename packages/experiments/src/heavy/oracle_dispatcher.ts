import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Decider } from "./decider.ts";
import type { Decision } from "./decision.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";
import type { ModelledEngine } from "./modelled_engine.ts";

const RANK = 1;
const LATE_RANK = 6;

type Options = {
  settings: FleetSettings;
  engines: readonly ModelledEngine[];
  random: () => number;
};

/**
 * Knows every engine's calls and how long each still is, at every moment: how
 * far choice and admission alone could go.
 */
export class KnowingDecider implements Decider {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  decide(call: ModelledCall, now: number): Decision {
    const { engines, random } = this.#options;
    let best = -1;
    let soonest = Infinity;
    engines.forEach((engine, index) => {
      if (engine.isAway) return;
      const wait = this.#firstEventIn(engine, call);
      if (wait < soonest) [best, soonest] = [index, wait];
    });
    const isTimely = now + soonest <= call.startedAt + call.kind.target_ms;
    const { slots } = this.#options.settings.engine;
    const hasRoom = best >= 0 &&
      (isTimely || engines[best]!.running < slots);
    const end = now + soonest + this.#writing(call);
    if (hasRoom && end <= call.endsAt) {
      return { kind: "send", engine: best, rank: isTimely ? RANK : LATE_RANK };
    }
    const retryAfterMilliseconds = retryAfter({
      cause: best < 0 ? "outage" : "overload",
      patienceMilliseconds: call.endsAt - now,
      random: random(),
    });
    return { kind: "refuse", retryAfterMilliseconds };
  }

  noteFirstEvent(): void {}
  noteEnd(): void {}
  noteRejected(): void {}
  hearLoad(): void {}

  #stepMilliseconds(): number {
    const { step_ms, step_per_request_ms, slots } =
      this.#options.settings.engine;
    return step_ms + step_per_request_ms * slots;
  }

  #writing(call: ModelledCall): number {
    return call.answerTokens * this.#stepMilliseconds();
  }

  /** Until a slot is free behind those that wait, and all prompts are read. */
  #firstEventIn(engine: ModelledEngine, call: ModelledCall): number {
    const { slots, read_tokens_per_ms, steps_per_pass } =
      this.#options.settings.engine;
    const step = this.#stepMilliseconds();
    const slotsFreeIn = engine.active
      .map(({ unread, unwritten }) =>
        unread / read_tokens_per_ms + unwritten * step
      )
      .sort((left, right) => left - right);
    while (slotsFreeIn.length < slots) slotsFreeIn.unshift(0);
    for (const { unwritten } of engine.queued) {
      const free = slotsFreeIn.shift()!;
      slotsFreeIn.push(free + unwritten * step);
      slotsFreeIn.sort((left, right) => left - right);
    }
    const unread = [...engine.active, ...engine.queued].reduce(
      (sum, work) => sum + work.unread,
      call.promptTokens,
    );
    return slotsFreeIn[0]! + unread / read_tokens_per_ms +
      steps_per_pass * step;
  }
}
