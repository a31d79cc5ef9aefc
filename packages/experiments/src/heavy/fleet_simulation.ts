import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { EventQueue } from "../overload/event_queue.ts";
import { ModelledCaller } from "./modelled_caller.ts";
import { estimateCapacity } from "./estimate_capacity.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { FleetPattern } from "./fleet_pattern.ts";
import { fleetPolicies } from "./fleet_policies.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { FleetMetrics } from "./fleet_metrics.ts";
import { MetricsCollector } from "./metrics_collector.ts";
import type { ModelledCall } from "./modelled_call.ts";
import { ModelledEngine } from "./modelled_engine.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Time simulated after the pattern, so that the last calls end. */
const DRAIN_MILLISECONDS = 20_000;

const ROOM_SAMPLE_MILLISECONDS = 100;
/** Standard deviation of the logarithm of rough estimates. */
const ESTIMATE_SPREAD = 0.7;

type Options = {
  settings: FleetSettings;
  pattern: FleetPattern;
  policy: string;
  seed: number;
};

type Host = {
  dataCentre: string;
  dispatcher: Dispatcher;
  createDispatcher: () => Dispatcher;
};

/**
 * Simulates a modelled fleet under one policy and one pattern of load and
 * outages.
 */
export class FleetSimulation {
  #options: Options;
  #events = new EventQueue();
  /**
   * Random numbers of the callers, separate from those of the dispatchers so
   * that a dispatcher's draws do not shift those of the callers.
   */
  #random: () => number;
  /** Of what `#random` was not made for, so as not to shift its draws. */
  #detailRandom: () => number;
  #engines: ModelledEngine[];
  #announcements: BackendAnnouncement[];
  #hosts: Host[];
  #collector: MetricsCollector;

  constructor(options: Options) {
    const { settings, pattern, policy, seed } = options;
    this.#options = options;
    this.#collector = new MetricsCollector({
      countedFrom: (pattern.countedFrom ?? 0) * MILLISECONDS_PER_SECOND,
    });
    this.#random = createSeededRandom(seed);
    this.#detailRandom = createSeededRandom(seed + 2);
    const { engine } = settings;
    this.#engines = Array.from(
      { length: settings.engines },
      () => new ModelledEngine({ events: this.#events, engine }),
    );
    this.#announcements = this.#engines.map((_, index) =>
      createAnnouncement(index, settings)
    );
    const dispatcherRandom = createSeededRandom(seed + 1);
    this.#hosts = Array.from({ length: settings.hosts }, (_, index) => {
      const dataCentre = dataCentreOf(index, settings);
      const createDispatcher = () =>
        fleetPolicies[policy]!({
          host: `host-${index}`,
          dataCentre,
          settings,
          announcements: this.#announcements,
          engines: this.#engines,
          random: dispatcherRandom,
        });
      return { dataCentre, createDispatcher, dispatcher: createDispatcher() };
    });
  }

  run(): FleetMetrics {
    const { pattern } = this.#options;
    this.#scheduleNextCall();
    if (this.#options.settings.told_after_ms !== undefined) this.#sampleLoads();
    for (const outage of pattern.outages) this.#scheduleOutage(outage);
    this.#scheduleRestart();
    this.#sampleRoom();
    this.#engines.forEach((engine, index) => this.#varyPace(engine, index));
    this.#events.runUntil(
      pattern.seconds * MILLISECONDS_PER_SECOND + DRAIN_MILLISECONDS,
    );
    return this.#collector.computeMetrics();
  }

  #scheduleNextCall(): void {
    const { pattern, settings } = this.#options;
    const { now } = this.#events;
    if (now >= pattern.seconds * MILLISECONDS_PER_SECOND) return;
    const callsPerSecond = estimateCapacity(settings) * this.#load();
    const gapMilliseconds = -Math.log(1 - this.#random()) *
      MILLISECONDS_PER_SECOND / callsPerSecond;
    this.#events.after(gapMilliseconds, () => {
      this.#startCall();
      this.#scheduleNextCall();
    });
  }

  #startCall(): void {
    const { settings, pattern } = this.#options;
    const firstCentre = this.#hosts[0]!.dataCentre;
    const weights = this.#hosts.map((host, index) =>
      (pattern.hostWeight?.(index) ?? 1) *
      (host.dataCentre === firstCentre ? settings.first_centre_load : 1)
    );
    const index = this.#draw(weights);
    const { dataCentre } = this.#hosts[index]!;
    const localWeights = this.#hosts.map((host, other) =>
      host.dataCentre === dataCentre ? weights[other]! : 0
    );
    const call = this.#drawCall(index);
    new ModelledCaller({
      call,
      settings,
      events: this.#events,
      engines: this.#engines,
      dataCentreOf: (engine) => this.#announcements[engine]!.dataCentre,
      pickDispatcher: () =>
        this.#hosts[call.tries === 1 ? index : this.#draw(localWeights)]!
          .dispatcher,
      collector: this.#collector,
      onHead: (dispatcher, engine) => this.#tellHead(dispatcher, engine),
    }).start();
  }

  /** Reports an engine's load to the host that gets an answer's head. */
  #tellHead(dispatcher: Dispatcher, index: number): void {
    const { head_age_ms: age } = this.#options.settings;
    if (age === undefined) return;
    const { running, waiting, slowdown } = this.#engines[index]!;
    this.#events.after(age, () => {
      dispatcher.recordLoadReport(
        index,
        { running, waiting, slowdown },
        { now: this.#events.now, age },
      );
    });
  }

  /** Lets an engine be slow now and then, and a lastingly slow one always. */
  #varyPace(engine: ModelledEngine, index: number): void {
    const { slow, lasting } = this.#options.settings.engine;
    const usual = lasting !== undefined && index < lasting.engines
      ? lasting.factor
      : 1;
    engine.slowdown = usual;
    const random = createSeededRandom(this.#options.seed * 1_000 + index);
    if (slow === undefined) return;
    const change = (isSlow: boolean) => {
      engine.slowdown = usual * (isSlow ? slow.factor : 1);
      const mean = isSlow ? slow.ms : slow.ms * (1 - slow.share) / slow.share;
      this.#events.after(-Math.log(1 - random()) * mean, () => change(!isSlow));
    };
    change(random() < slow.share);
  }

  /** Calls that start now, as a multiple of the engines' capacity. */
  #load(): number {
    const second = this.#events.now / MILLISECONDS_PER_SECOND;
    return this.#options.pattern.load(second) * sum(this.#kindWeights());
  }

  /** Weights of the kinds among the calls now. */
  #kindWeights(): number[] {
    const { settings, pattern } = this.#options;
    const second = this.#events.now / MILLISECONDS_PER_SECOND;
    return settings.kinds.map(({ name, share }) =>
      share * (pattern.kindLoad?.(second, name) ?? 1)
    );
  }

  #draw(weights: readonly number[]): number {
    let draw = this.#random() * sum(weights);
    const index = weights.findIndex((weight) => (draw -= weight) < 0);
    return Math.max(0, index);
  }

  #drawCall(host: number): ModelledCall {
    const { settings: { kinds, workspaces }, pattern } = this.#options;
    const kind = kinds[this.#draw(this.#kindWeights())]!;
    const workspace = this.#draw(
      Array.from(
        { length: workspaces },
        (_, index) => pattern.workspaceWeight?.(index) ?? 1,
      ),
    );
    const { now } = this.#events;
    const promptTokens = this.#drawTokenCount(kind.prompt_tokens, kind.spread);
    const answerTokens = this.#drawTokenCount(
      kind.answer_tokens,
      kind.answer_spread ?? kind.spread,
    );
    return {
      kind,
      dataCentre: this.#hosts[host]!.dataCentre,
      workspace: `workspace-${workspace}`,
      host,
      promptTokens,
      answerTokens,
      expectedAnswerTokens: this.#drawEstimate(kind, answerTokens),
      startedAt: now,
      abandonedAt: now + kind.patience_ms,
      tries: 0,
      firstEventAt: undefined,
      longestPauseMilliseconds: 0,
      outcome: undefined,
    };
  }

  /**
   * Draws from a log-normal distribution with this mean, in which `spread` is
   * the standard deviation of the logarithm. Limits the result to at least 1
   * and at most three times the mean.
   */
  #drawTokenCount(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random());
    const size = mean * Math.exp(spread * normal - spread * spread / 2);
    return Math.max(1, Math.round(Math.min(size, 3 * mean)));
  }

  /** Draws a caller's estimate of the length of an answer, in tokens. */
  #drawEstimate(kind: ModelledCall["kind"], answerTokens: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#detailRandom()));
    const normal = radius * Math.cos(2 * Math.PI * this.#detailRandom());
    const error = Math.exp(ESTIMATE_SPREAD * normal);
    switch (this.#options.settings.estimates) {
      case "exact":
        return answerTokens;
      case "rough":
        return answerTokens * error;
      case "useless":
        return kind.answer_tokens * error;
      case "misleading":
        return kind.answer_tokens ** 2 / answerTokens;
    }
  }

  /**
   * Starts the periodic load reports of all engines, staggered over one period.
   */
  #sampleLoads(): void {
    const { look_ms } = this.#options.settings;
    this.#engines.forEach((_, index) => {
      const first = look_ms * index / this.#engines.length;
      this.#events.after(first, () => this.#sampleLoad(index));
    });
  }

  /**
   * Samples the load of an engine and schedules the next sample. All hosts get
   * the sample after `told_after_ms`, unless the engine had an outage.
   */
  #sampleLoad(index: number): void {
    const { look_ms, told_after_ms: age = 0, samples_tell_slowdown } =
      this.#options.settings;
    const { running, waiting, isDown, slowdown } = this.#engines[index]!;
    const load = samples_tell_slowdown
      ? { running, waiting, slowdown }
      : { running, waiting };
    this.#events.after(age, () => {
      if (isDown) return;
      const report = { now: this.#events.now, age };
      this.#hosts.forEach(({ dispatcher }, host) => {
        if (host === this.#options.pattern.cutOffHost) return;
        dispatcher.recordLoadReport(index, load, report);
      });
    });
    this.#events.after(look_ms, () => this.#sampleLoad(index));
  }

  /**
   * Samples the use of all slots while calls ask for more than there are and
   * one waits.
   */
  #sampleRoom(): void {
    const { pattern } = this.#options;
    if (this.#events.now > pattern.seconds * MILLISECONDS_PER_SECOND) return;
    const { slots } = this.#options.settings.engine;
    // A call that waits at an engine with a free slot gets it at the next pass.
    const calls = this.#engines.map(({ running, waiting }) =>
      running + waiting
    );
    const isShort = calls.some((count) => count > slots);
    const used = sum(calls.map((count) => Math.min(slots, count)));
    if (isShort && this.#load() > 1) {
      this.#collector.recordRoom(used / (slots * calls.length));
    }
    this.#events.after(ROOM_SAMPLE_MILLISECONDS, () => this.#sampleRoom());
  }

  #scheduleRestart(): void {
    const { restart } = this.#options.pattern;
    if (restart === undefined) return;
    const host = this.#hosts[restart.host]!;
    this.#events.after(restart.second * MILLISECONDS_PER_SECOND, () => {
      host.dispatcher = host.createDispatcher();
    });
  }

  #scheduleOutage(
    { from, to, first, last }: FleetPattern["outages"][number],
  ): void {
    const count = this.#engines.length;
    const engines = this.#engines.slice(
      Math.round(first * count),
      Math.round(last * count),
    );
    this.#events.after(from * MILLISECONDS_PER_SECOND, () => {
      for (const engine of engines) engine.startOutage();
    });
    this.#events.after(to * MILLISECONDS_PER_SECOND, () => {
      for (const engine of engines) engine.endOutage();
    });
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function dataCentreOf(index: number, { data_centres }: FleetSettings): string {
  return `centre-${index % data_centres}`;
}

function createAnnouncement(
  index: number,
  settings: FleetSettings,
): BackendAnnouncement {
  return {
    instance: `engine-${index}`,
    service: "model",
    address: `engine-${index}`,
    dataCentre: dataCentreOf(index, settings),
    slots: settings.engine.slots,
    state: "ready",
    bornAt: 0,
    sequence: 1,
    coldMilliseconds: 0,
    models: [{ name: "model", version: 1 }],
  };
}
