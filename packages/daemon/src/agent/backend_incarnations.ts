import { askWhetherEnded } from "../transport/ask_whether_ended.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Names the ends of the backend server beside an agent. */
export class BackendEnds {
  /** The agent's own, as the backend server has none. */
  #incarnation: string;
  #ends = 0;
  #endedAt = -Infinity;

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Behind a call that failed: the start that ended; empty if none did. A call
   * that reached the backend server behind an end was with its next start.
   *
   * @param begunAt when the call was sent there, monotonic milliseconds.
   */
  async nameEnd(address: string, begunAt: number): Promise<string> {
    const failedAt = monotonicMilliseconds();
    if (await askWhetherEnded(address) !== "ended") return "";
    if (begunAt > this.#endedAt) {
      this.#ends += 1;
      this.#endedAt = failedAt;
    }
    return `${this.#incarnation}@${this.#ends}`;
  }
}
