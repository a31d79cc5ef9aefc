import { seededRandom } from "@teaselrouter/core/random/seeded_random.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { EventQueue } from "../overload/event_queue.ts";
import { CallRun } from "./call_run.ts";
import { capacityOf } from "./capacity_of.ts";
import type { Decider } from "./decider.ts";
import type { FleetPattern } from "./fleet_pattern.ts";
import { fleetPolicies } from "./fleet_policies.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { FleetFigures } from "./fleet_figures.ts";
import { FleetTally } from "./fleet_tally.ts";
import type { ModelledCall } from "./modelled_call.ts";
import { ModelledEngine } from "./modelled_engine.ts";

const MILLISECONDS = 1_000;
/** Calls of the last second have ended by then. */
const TAIL_MILLISECONDS = 20_000;

type Options = {
  settings: FleetSettings;
  pattern: FleetPattern;
  policy: string;
  seed: number;
};

type Host = { dataCentre: string; decider: Decider };

/** Plays one pattern on a modelled fleet. */
export class FleetRun {
  #options: Options;
  #events = new EventQueue();
  /** Of callers, the same whatever hosts decide. */
  #random: () => number;
  #engines: ModelledEngine[];
  #standings: BackendStanding[];
  #hosts: Host[];
  #tally = new FleetTally();

  constructor(options: Options) {
    const { settings, policy, seed } = options;
    this.#options = options;
    this.#random = seededRandom(seed);
    const { engine } = settings;
    this.#engines = Array.from(
      { length: settings.engines },
      () => new ModelledEngine({ events: this.#events, engine }),
    );
    this.#standings = this.#engines.map((_, index) =>
      standingOf(index, settings)
    );
    const random = seededRandom(seed + 1);
    this.#hosts = Array.from({ length: settings.hosts }, (_, index) => {
      const dataCentre = centreOf(index, settings);
      const decider = fleetPolicies[policy]!({
        host: `host-${index}`,
        dataCentre,
        settings,
        standings: this.#standings,
        engines: this.#engines,
        random,
      });
      return { dataCentre, decider };
    });
  }

  run(): FleetFigures {
    const { pattern } = this.#options;
    this.#arrive();
    if (this.#options.settings.told_after_ms !== undefined) this.#look();
    for (const away of pattern.away) this.#planAway(away);
    this.#events.runUntil(pattern.seconds * MILLISECONDS + TAIL_MILLISECONDS);
    return this.#tally.figures();
  }

  #arrive(): void {
    const { pattern, settings } = this.#options;
    const { now } = this.#events;
    if (now >= pattern.seconds * MILLISECONDS) return;
    const rate = capacityOf(settings) * pattern.load(now / MILLISECONDS);
    const pause = -Math.log(1 - this.#random()) * MILLISECONDS / rate;
    this.#events.after(pause, () => {
      this.#begin();
      this.#arrive();
    });
  }

  #begin(): void {
    const { settings } = this.#options;
    const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)]!;
    const call = this.#drawCall(host.dataCentre);
    const near = this.#hosts.filter(({ dataCentre }) =>
      dataCentre === host.dataCentre
    );
    new CallRun({
      call,
      settings,
      events: this.#events,
      engines: this.#engines,
      centreOf: (engine) => this.#standings[engine]!.dataCentre,
      pickDecider: () =>
        near[Math.floor(this.#random() * near.length)]!.decider,
      tally: this.#tally,
    }).begin();
  }

  #drawCall(dataCentre: string): ModelledCall {
    const { kinds } = this.#options.settings;
    let draw = this.#random();
    const kind = kinds.find(({ share }) => (draw -= share) < 0) ?? kinds[0]!;
    const { now } = this.#events;
    return {
      kind,
      dataCentre,
      promptTokens: this.#drawSize(kind.prompt_tokens, kind.spread),
      answerTokens: this.#drawSize(kind.answer_tokens, kind.spread),
      startedAt: now,
      endsAt: now + kind.patience_ms,
      tries: 0,
      firstEventAt: undefined,
      end: undefined,
    };
  }

  /** Log-normal with this mean; half of it as the least. */
  #drawSize(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random());
    const size = mean * Math.exp(spread * normal - spread * spread / 2);
    return Math.max(1, Math.round(Math.min(size, 3 * mean)));
  }

  /** Agents look at their engines, each at its own moment. */
  #look(): void {
    const { look_ms } = this.#options.settings;
    this.#engines.forEach((_, index) => {
      const first = look_ms * index / this.#engines.length;
      this.#events.after(first, () => this.#lookAt(index));
    });
  }

  #lookAt(index: number): void {
    const { look_ms, told_after_ms: age = 0 } = this.#options.settings;
    const { running, waiting, isAway } = this.#engines[index]!;
    this.#events.after(age, () => {
      if (isAway) return;
      const told = { now: this.#events.now, age };
      for (const { decider } of this.#hosts) {
        decider.hearLoad(index, { running, waiting }, told);
      }
    });
    this.#events.after(look_ms, () => this.#lookAt(index));
  }

  #planAway({ from, to, first, last }: FleetPattern["away"][number]): void {
    const count = this.#engines.length;
    const engines = this.#engines.slice(
      Math.round(first * count),
      Math.round(last * count),
    );
    this.#events.after(from * MILLISECONDS, () => {
      for (const engine of engines) engine.goAway();
    });
    this.#events.after(to * MILLISECONDS, () => {
      for (const engine of engines) engine.comeBack();
    });
  }
}

function centreOf(index: number, { data_centres }: FleetSettings): string {
  return `centre-${index % data_centres}`;
}

function standingOf(index: number, settings: FleetSettings): BackendStanding {
  return {
    instance: `engine-${index}`,
    service: "model",
    address: `engine-${index}`,
    dataCentre: centreOf(index, settings),
    slots: settings.engine.slots,
    state: "ready",
    bornAt: 0,
    sequence: 1,
    coldMilliseconds: 0,
    models: [{ name: "model", version: 1 }],
  };
}
