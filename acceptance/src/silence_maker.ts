import { performance } from "node:perf_hooks";
import type { FakeBackendServer } from "./fake_backend_server.ts";

const MIN_MILLISECONDS = 200;
const MAX_MILLISECONDS = 2_000;
const LONG_SHARE = 0.12;
const MAX_LONG_MILLISECONDS = 2_500;
/** Some events are sent between two silences of a server. */
const MIN_REST_MILLISECONDS = 300;
const MAX_GAP_MILLISECONDS = 1_500;
const MAX_REPEATS = 3;

type Options = {
  engines: readonly FakeBackendServer[];
  plainServers: readonly FakeBackendServer[];
  random: () => number;
};
type Silence = { instance: string; from: number; to: number };

/**
 * Lets backend servers fall silent: one, several one after the other, half of
 * them, and all at once, again and again. They go on afterwards.
 */
export class SilenceMaker {
  readonly silences: Silence[] = [];
  /** A short word for each spell. */
  readonly spells: string[] = [];
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  async run(milliseconds: number): Promise<void> {
    const { random } = this.#options;
    const endAt = performance.now() + milliseconds;
    while (performance.now() < endAt) {
      await this.#makeSpell();
      await sleep(MAX_GAP_MILLISECONDS * random());
    }
  }

  async #makeSpell(): Promise<void> {
    const { engines, plainServers, random } = this.#options;
    const first = Math.floor(random() * engines.length);
    const turned = [...engines.slice(first), ...engines.slice(0, first)];
    const half = turned.slice(0, engines.length / 2);
    const draw = random();
    if (draw < 0.2) return this.#silenceInSeries(half);
    const [name, servers] = draw < 0.3
      ? ["one", turned.slice(0, 1)] as const
      : draw < 0.4
      ? ["one plain", plainServers.slice(0, 1)] as const
      : draw < 0.6
      ? ["half", half] as const
      : draw < 0.8
      ? ["all engines", engines] as const
      : ["all", [...engines, ...plainServers]] as const;
    const repeats = 1 + Math.floor(random() * MAX_REPEATS);
    this.spells.push(`${name} x${repeats}`);
    for (let count = 0; count < repeats; count += 1) {
      const duration = drawDuration(random);
      for (const server of servers) this.#silence(server, duration);
      await sleep(duration + MIN_REST_MILLISECONDS * (1 + random()));
    }
  }

  async #silenceInSeries(servers: FakeBackendServer[]): Promise<void> {
    const { random } = this.#options;
    this.spells.push("series");
    for (const server of servers) {
      const duration = drawDuration(random);
      this.#silence(server, duration);
      await sleep(duration * (0.5 + random()));
    }
  }

  /** Does nothing if the server has been silent a short time ago. */
  #silence(server: FakeBackendServer, milliseconds: number): void {
    const { instance } = server;
    const from = performance.now();
    const isRested = this.silences.every((silence) =>
      silence.instance !== instance ||
      silence.to + MIN_REST_MILLISECONDS <= from
    );
    if (!isRested) return;
    server.fallSilent(milliseconds);
    this.silences.push({ instance, from, to: from + milliseconds });
  }
}

function drawDuration(random: () => number): number {
  const isLong = random() < LONG_SHARE;
  const [from, to] = isLong
    ? [MAX_MILLISECONDS, MAX_LONG_MILLISECONDS]
    : [MIN_MILLISECONDS, MAX_MILLISECONDS];
  return from + (to - from) * random();
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
