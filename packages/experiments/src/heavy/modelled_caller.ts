import type { EventQueue } from "../overload/event_queue.ts";
import type { Decider } from "./decider.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { FleetTally } from "./fleet_tally.ts";
import type { CallEnd } from "./call_end.ts";
import type { ModelledCall } from "./modelled_call.ts";
import type { EngineWork } from "./engine_work.ts";
import type { ModelledEngine } from "./modelled_engine.ts";

/** Callers ask once more, on another host of their data centre. */
const MOST_TRIES = 2;
/** They wait for a later return at most for this part of their time. */
const LONGEST_RETURN_SHARE = 1 / 3;
/** Of a host that could not place a call, or whose engine broke it off. */
const RETURN_MILLISECONDS = 300;

type Options = {
  call: ModelledCall;
  settings: FleetSettings;
  events: EventQueue;
  engines: readonly ModelledEngine[];
  centreOf: (engine: number) => string;
  pickDecider: () => Decider;
  tally: FleetTally;
};

/** One caller from its first try to its end. */
export class CallRun {
  #options: Options;
  /** What the engine has of it; undefined between tries. */
  #work: { work: EngineWork; engine: number; decider: Decider } | undefined;
  #headAt: number | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  begin(): void {
    const { call, events, settings } = this.#options;
    events.after(call.kind.patience_ms, () => this.#end("left"));
    events.after(settings.silence_ms, () => {
      if (call.firstEventAt === undefined) this.#end("left");
    });
    this.#try();
  }

  #try(): void {
    const { call, events, pickDecider } = this.#options;
    if (call.end !== undefined) return;
    call.tries += 1;
    const decider = pickDecider();
    const decision = decider.decide(call, events.now);
    if (decision.kind === "refuse") {
      return this.#comeBack(decision.retryAfterMilliseconds);
    }
    this.#send(decider, decision.engine, decision.rank);
  }

  #send(decider: Decider, engine: number, rank: number): void {
    const { call, centreOf, events, settings, tally } = this.#options;
    const isCrossing = centreOf(engine) !== call.dataCentre;
    const way = settings.way_ms + (isCrossing ? settings.crossing_ms : 0);
    tally.noteSend(isCrossing);
    const work: EngineWork = {
      call,
      rank,
      unread: call.promptTokens,
      unwritten: call.answerTokens,
      onEvent: () => this.#noteEvent(),
      onEnd: (isWhole) => this.#noteEnd(isWhole),
    };
    this.#work = { work, engine, decider };
    events.after(way, () => this.#arrive());
  }

  #arrive(): void {
    if (this.#work === undefined) return;
    const { engines, events, call } = this.#options;
    const { work, engine, decider } = this.#work;
    if (engines[engine]!.take(work)) return;
    this.#work = undefined;
    decider.noteRejected(call, engine, events.now);
    this.#comeBack(RETURN_MILLISECONDS);
  }

  #noteEvent(): void {
    if (this.#headAt !== undefined) return;
    const { call, events } = this.#options;
    const { decider, engine } = this.#work!;
    this.#headAt = events.now;
    call.firstEventAt ??= events.now;
    decider.noteFirstEvent(call, engine, events.now);
  }

  #noteEnd(isWhole: boolean): void {
    const { call } = this.#options;
    this.#leaveEngine();
    if (!isWhole) return this.#comeBack(RETURN_MILLISECONDS);
    const waited = call.firstEventAt! - call.startedAt;
    this.#end(waited <= call.kind.target_ms ? "in-time" : "late");
  }

  #leaveEngine(): void {
    const { call, events, engines } = this.#options;
    if (this.#work === undefined) return;
    const { work, engine, decider } = this.#work;
    this.#work = undefined;
    engines[engine]!.drop(work);
    const hold = this.#headAt && events.now - this.#headAt;
    this.#headAt = undefined;
    decider.noteEnd(call, engine, hold);
  }

  #comeBack(milliseconds: number): void {
    const { call, events } = this.#options;
    const left = call.endsAt - events.now;
    const isWorthIt = call.tries < MOST_TRIES &&
      milliseconds <= left * LONGEST_RETURN_SHARE;
    if (!isWorthIt) return this.#end("refused");
    events.after(milliseconds, () => this.#try());
  }

  #end(end: CallEnd): void {
    const { call, tally } = this.#options;
    if (call.end !== undefined) return;
    call.end = end;
    this.#leaveEngine();
    tally.noteEnd(call);
  }
}
