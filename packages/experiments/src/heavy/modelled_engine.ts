import type { EventQueue } from "../overload/event_queue.ts";
import type { EngineWork } from "./engine_work.ts";
import type { FleetSettings } from "./fleet_settings.ts";

type Options = { events: EventQueue; engine: FleetSettings["engine"] };

/**
 * A model engine that works in passes: some steps of all answers that are
 * being written, and between them a piece of the prompts that are not read.
 */
export class ModelledEngine {
  #options: Options;
  #waiting: EngineWork[] = [];
  #active: EngineWork[] = [];
  #isPassing = false;
  #isAway = false;

  constructor(options: Options) {
    this.#options = options;
  }

  get running(): number {
    return this.#active.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get isAway(): boolean {
    return this.#isAway;
  }

  /** What is left of each call that runs, for a decider that knows all. */
  get active(): readonly EngineWork[] {
    return this.#active;
  }

  get queued(): readonly EngineWork[] {
    return this.#waiting;
  }

  /** Whether it is taken; an engine that is full or away does not run it. */
  take(work: EngineWork): boolean {
    const { queue, slots } = this.#options.engine;
    const isFull = this.#active.length >= slots &&
      this.#waiting.length >= queue;
    if (this.#isAway || isFull) return false;
    const behind = this.#waiting.findIndex(({ rank }) => rank > work.rank);
    this.#waiting.splice(behind < 0 ? this.#waiting.length : behind, 0, work);
    this.#pass();
    return true;
  }

  /** Its caller has left. */
  drop(work: EngineWork): void {
    this.#waiting = this.#waiting.filter((other) => other !== work);
    this.#active = this.#active.filter((other) => other !== work);
  }

  /** Ends all that it has, and takes nothing until it is back. */
  goAway(): void {
    this.#isAway = true;
    const cut = [...this.#active, ...this.#waiting];
    this.#active = [];
    this.#waiting = [];
    for (const { onEnd } of cut) onEnd(false);
  }

  comeBack(): void {
    this.#isAway = false;
  }

  #pass(): void {
    if (this.#isPassing) return;
    this.#admit();
    if (this.#active.length === 0) return;
    this.#isPassing = true;
    const writers = this.#active.filter(({ unread }) => unread === 0);
    const read = this.#read();
    const { engine, events } = this.#options;
    const step = engine.step_ms + engine.step_per_request_ms * writers.length;
    const writing = writers.length > 0 ? engine.steps_per_pass * step : 0;
    const reading = read / engine.read_tokens_per_ms;
    events.after(Math.max(engine.step_ms, writing + reading), () => {
      this.#isPassing = false;
      this.#write(writers);
      this.#begin(writers);
      this.#pass();
    });
  }

  #admit(): void {
    const { slots } = this.#options.engine;
    while (this.#active.length < slots && this.#waiting.length > 0) {
      this.#active.push(this.#waiting.shift()!);
    }
  }

  /** Prompts in order, as far as one pass goes; gives back the tokens read. */
  #read(): number {
    let left = this.#options.engine.pass_tokens;
    for (const work of this.#active) {
      const piece = Math.min(left, work.unread);
      work.unread -= piece;
      left -= piece;
    }
    return this.#options.engine.pass_tokens - left;
  }

  /** A prompt that was read to its end gives its first token at once. */
  #begin(writers: EngineWork[]): void {
    const begun = this.#active.filter((work) =>
      work.unread === 0 && !writers.includes(work)
    );
    for (const work of begun) {
      work.unwritten -= 1;
      work.onEvent();
      if (work.unwritten <= 0) this.#end(work);
    }
  }

  #write(writers: EngineWork[]): void {
    const { steps_per_pass } = this.#options.engine;
    for (const work of writers) {
      if (!this.#active.includes(work)) continue;
      work.unwritten -= steps_per_pass;
      work.onEvent();
      if (work.unwritten <= 0) this.#end(work);
    }
  }

  #end(work: EngineWork): void {
    this.drop(work);
    work.onEnd(true);
  }
}
