import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";

/** When a change was accepted, and how long that took. */
type AcceptedChange = { at: number; milliseconds: number };

const RETRY_PAUSE_MILLISECONDS = 10;
const CALL_TIMEOUT_MILLISECONDS = 10_000;

/** Changes one contract repeatedly, as an operator's script would. */
export class ContractChanger {
  readonly accepted: AcceptedChange[] = [];
  /** Number of attempts that were refused, failed or timed out. */
  refused = 0;
  /**
   * The contract row's number, which counts its accepted changes. Each change
   * names it as the number that the change replaces.
   */
  number = 0;
  #entryUrl: string;
  #workspace: string;
  #isStopped = false;

  constructor(entryUrl: string, workspace: string) {
    this.#entryUrl = entryUrl;
    this.#workspace = workspace;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async run(): Promise<void> {
    while (!this.#isStopped) await this.changeOnce();
  }

  /**
   * Sends one change. If it fails or has no answer, the next call sends the
   * same change again.
   */
  async changeOnce(): Promise<void> {
    const startedAt = performance.now();
    try {
      const answer = await fetch(
        `${this.#entryUrl}/v1/operator/contracts/${this.#workspace}`,
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
          signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
        },
      );
      await answer.text();
      if (answer.status !== 200) throw new Error(String(answer.status));
      this.number += 1;
      const at = performance.now();
      this.accepted.push({ at, milliseconds: at - startedAt });
    } catch {
      this.refused += 1;
      await sleep(RETRY_PAUSE_MILLISECONDS);
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
