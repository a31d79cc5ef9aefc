import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import { decidePlacement } from "@teaselrouter/core/gateway/decide_placement.ts";
import type { Placement } from "@teaselrouter/core/gateway/placement.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerPasser } from "./answer_passer.ts";
import type { GatewayWorld } from "./gateway_world.ts";

type Options = {
  world: GatewayWorld;
  call: AdmittedCall;
  passer: AnswerPasser;
  /** Instances that it was sent to. */
  tried: ReadonlySet<string>;
};

/** Where one request may go, and whether it may go there once more. */
export class CallRouting {
  /** How it was last placed; undefined before that. */
  placement: Placement | undefined;
  /** Weights that it began on; undefined before that. */
  weightsVersion: number | undefined;
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  /** For a request that is to be sent there now. */
  choose(): BackendChoice | undefined {
    return this.#options.world.pool.choose(this.#want({ forSending: true }));
  }

  /** When a backend server that names a limit has room; see the pool. */
  untilRoom(): number | undefined {
    return this.#options.world.pool.untilRoom(
      this.#want({ forSending: false }),
    );
  }

  #want({ forSending }: { forSending: boolean }) {
    const { call, tried } = this.#options;
    return {
      id: call.id,
      forSending,
      service: call.service.name,
      engine: call.service.engine,
      model: call.facts.model,
      promptTokens: call.facts.promptTokens,
      tried,
      weightsVersion: this.weightsVersion,
    };
  }

  /** A stream that has begun goes on at once: its client is waiting. */
  place(choice: BackendChoice): Placement {
    const { world, call, passer, tried } = this.#options;
    const { engine, name } = call.service;
    const now = monotonicMilliseconds();
    if (engine === undefined || passer.hasBegun) {
      this.placement = { kind: "timely", forecast: undefined, placedAt: now };
      return this.placement;
    }
    const pressure = world.pool.pressureOf(name);
    const placement = decidePlacement(choice, {
      engine,
      promptTokens: call.facts.promptTokens,
      targetLeftMilliseconds: call.lateAt - now,
      slotPressure: pressure.share,
      now,
    });
    if (call.spentBefore === 0) {
      const isFull = placement.forecast!.requests >= choice.standing.slots;
      pressure.note(isFull);
    }
    // A backend server failed it: to refuse it now would promise nothing, and
    // lose an answer that its client has waited for.
    const isSentBefore = tried.size > 0;
    this.placement = placement.kind === "refused" && isSentBefore
      ? { ...placement, kind: "late" }
      : placement;
    return this.placement;
  }

  /** Whether it may run again: a stream only behind an event with an id. */
  get mayRepeat(): boolean {
    const { call, passer } = this.#options;
    const { kind, resumable } = call.route;
    if (kind === "safe") return !passer.hasBegun;
    return kind === "stream" && resumable && passer.canBeGoneOnWith;
  }

  /** Takes one of the extra sends that all requests share, if there is one. */
  trySendAgain(): boolean {
    const { world, call } = this.#options;
    return this.#hasSendsLeft && world.crashes.maySendAgain(call) &&
      world.retries.trySpend();
  }

  /** Whether a failure of the backend server can be made good by another. */
  canTryElsewhere(): boolean {
    return this.mayRepeat && this.#hasSendsLeft &&
      this.#options.world.pool.choose(this.#want({ forSending: false })) !==
        undefined;
  }

  get #hasSendsLeft(): boolean {
    const { call, tried } = this.#options;
    return tried.size < call.route.maxBackends;
  }
}
