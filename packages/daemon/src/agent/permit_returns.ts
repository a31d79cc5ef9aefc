import type { LoadSettled } from "@teaselrouter/messages/agent.ts";

/** Well above the time in which a proposal is usually committed. */
const REPEAT_MILLISECONDS = 1_000;
/** With the interval, the time after which a permit ends by itself. */
const MAX_REPEATS = 60;

type PermitReturn = Pick<LoadSettled, "version" | "fencingToken" | "loaded">;

/**
 * Tells that a permit is no longer needed, again and again until an entry host
 * confirms that the log has it. Until the log has it, the permit keeps other
 * backend servers of the service from loading.
 */
export class PermitReturns {
  #send: (permit: PermitReturn) => void;
  #timers = new Map<number, NodeJS.Timeout>();

  constructor(send: (permit: PermitReturn) => void) {
    this.#send = send;
  }

  add(permit: PermitReturn): void {
    this.#send(permit);
    let repeats = 0;
    const timer = setInterval(() => {
      repeats += 1;
      if (repeats > MAX_REPEATS) this.confirm(permit.fencingToken);
      else this.#send(permit);
    }, REPEAT_MILLISECONDS);
    this.#timers.set(permit.fencingToken, timer);
  }

  confirm(fencingToken: number): void {
    clearInterval(this.#timers.get(fencingToken));
    this.#timers.delete(fencingToken);
  }

  stop(): void {
    for (const token of [...this.#timers.keys()]) this.confirm(token);
  }
}
