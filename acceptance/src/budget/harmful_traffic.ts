import { performance } from "node:perf_hooks";
import type { EndToEndSystem } from "../end_to_end_system.ts";
import type { Harm } from "./harm.ts";

const PER_SECOND: Record<Harm, number> = { request: 1.5, part: 3 };
const HARMFUL_BODY = "harmful";
const HARMFUL_PART = "bad0";
/** The servers are sound at first, so that answers on them are known. */
const SOUND_MILLISECONDS = 2_000;

type Sent = { id: string; harm: Harm; gateway: string; sentAt: number };
type Options = {
  system: EndToEndSystem;
  /** Creates the random numbers of one concurrent task. */
  createRandom: (task: string) => () => number;
  pickGateway: (random: () => number) => string;
  /** What is sent; all kinds by default. */
  harms?: readonly Harm[] | undefined;
};

/**
 * Clients of a day that send one harmful request again and again, and requests
 * of which no two are alike, but for a harmful part of their prompts, to all
 * gateways.
 */
export class HarmfulTraffic {
  readonly sent: Sent[] = [];
  #options: Options;
  #underWay = new Set<Promise<unknown>>();

  constructor(options: Options) {
    this.#options = options;
  }

  async run(milliseconds: number): Promise<void> {
    const endAt = performance.now() + milliseconds;
    await sleep(SOUND_MILLISECONDS);
    for (const engine of this.#options.system.engines) {
      engine.crashingBodies = [HARMFUL_BODY];
      engine.crashingParts = [HARMFUL_PART];
    }
    const { harms = ["request", "part"] } = this.#options;
    await Promise.all(harms.map((harm) => this.#sendSteadily(harm, endAt)));
    await Promise.all(this.#underWay);
  }

  async #sendSteadily(harm: Harm, endAt: number): Promise<void> {
    const { createRandom, pickGateway } = this.#options;
    const random = createRandom(`harmful ${harm}`);
    while (performance.now() < endAt) {
      const sending = this.#send(harm, pickGateway(random));
      this.#underWay.add(sending);
      sending.finally(() => this.#underWay.delete(sending));
      await sleep(2_000 * random() / PER_SECOND[harm]);
    }
  }

  async #send(harm: Harm, gateway: string): Promise<void> {
    const id = `${harm}-${this.sent.length}`;
    this.sent.push({ id, harm, gateway, sentAt: performance.now() });
    const parts = harm === "part" ? [HARMFUL_PART, `e${id}`] : [`e${id}`];
    await this.#options.system.sendRequest("/write/x", {
      id,
      gateway,
      method: "POST",
      body: harm === "request" ? HARMFUL_BODY : id,
      headers: {
        Model: "model-1",
        "Token-Usage": "100,8",
        "Prefix-Hash": parts.map((part) => `${part.replace("-", "")}:20`)
          .join(","),
      },
    }).catch(() => undefined);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
