import { probeProcessEnd } from "../transport/probe_process_end.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Makes ids for the incarnations (starts) of the backend server on an agent's
 * host: the agent's own incarnation, "@", and the number of the backend
 * server's ends that the agent has seen, the incarnation's own end included.
 */
export class BackendIncarnations {
  /** Id of the agent process, as the backend server has no id of its own. */
  #incarnation: string;
  #endCount = 0;
  #endedAt = -Infinity;

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Finds out after a failed call whether the backend server has ended. Calls
   * that one end interrupted all get the same id; a call that was sent after an
   * end belongs to the next incarnation.
   *
   * @param sentAt when the call was sent there, monotonic milliseconds.
   * @returns id of the incarnation that ended; empty if none is known to have.
   */
  async findEndedIncarnation(address: string, sentAt: number): Promise<string> {
    const failedAt = monotonicMilliseconds();
    if (await probeProcessEnd(address) !== "ended") return "";
    if (sentAt > this.#endedAt) {
      this.#endCount += 1;
      this.#endedAt = failedAt;
    }
    return `${this.#incarnation}@${this.#endCount}`;
  }
}
