import { pause } from "@teaselrouter/daemon/transport/pause.ts";

type Accepted = { at: number; milliseconds: number };

const REFUSED_PAUSE_MILLISECONDS = 10;
const CALL_MILLISECONDS = 10_000;

/** Changes one contract over and over, as an operator's script would. */
export class ContractChanger {
  readonly accepted: Accepted[] = [];
  refused = 0;
  number = 0;
  #entry: string;
  #workspace: string;
  #stopped = false;

  constructor(entry: string, workspace: string) {
    this.#entry = entry;
    this.#workspace = workspace;
  }

  stop(): void {
    this.#stopped = true;
  }

  async run(): Promise<void> {
    while (!this.#stopped) await this.changeOnce();
  }

  /** One change; what had no answer is sent again as it was. */
  async changeOnce(): Promise<void> {
    const startedAt = performance.now();
    try {
      const answer = await fetch(
        `${this.#entry}/v1/operator/contracts/${this.#workspace}`,
        {
          method: "PUT",
          body: JSON.stringify({
            expected: this.number,
            content: {
              requests_per_second: 100 + this.number,
              burst: 10,
              services: ["portal"],
            },
          }),
          signal: AbortSignal.timeout(CALL_MILLISECONDS),
        },
      );
      await answer.text();
      if (answer.status !== 200) throw new Error(String(answer.status));
      this.number += 1;
      const at = performance.now();
      this.accepted.push({ at, milliseconds: at - startedAt });
    } catch {
      this.refused += 1;
      await pause(REFUSED_PAUSE_MILLISECONDS);
    }
  }

  /** Longest time between two accepted changes, milliseconds. */
  longestGap(): number {
    return this.accepted.reduce((longest, { at }, index) => {
      const before = this.accepted[index - 1]?.at ?? at;
      return Math.max(longest, at - before);
    }, 0);
  }
}
