import { WorkspaceLimiter } from "@teaselrouter/core/limits/workspace_limiter.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { Allotment } from "@teaselrouter/messages/control.ts";

/** This entry host's part of every workspace's contract. */
export class LimitsRegistry {
  #limiters = new Map<string, WorkspaceLimiter>();

  follow(state: ControlState, now: number): void {
    for (const contract of state.contracts.values()) {
      this.limiter(contract.workspace, now)
        .setContract(contract, state.entryHosts.size, now);
    }
  }

  /** `sentAt` is when the report that the allotment answers was sent. */
  allot(allotment: Allotment, sentAt: number, now: number): void {
    for (const { workspace, rate } of allotment.allotments) {
      this.limiter(workspace, now).setAllotment({
        rate,
        grantUntil: sentAt + allotment.grantMilliseconds,
        capUntil: now + allotment.capMilliseconds,
      }, now);
    }
  }

  demands(now: number): { workspace: string; rate: number }[] {
    return [...this.#limiters]
      .map(([workspace, limiter]) => ({
        workspace,
        rate: limiter.demand(now),
      }))
      .filter(({ rate }) => rate > 0);
  }

  limiter(workspace: string, now: number): WorkspaceLimiter {
    let limiter = this.#limiters.get(workspace);
    if (limiter === undefined) {
      limiter = new WorkspaceLimiter(now);
      this.#limiters.set(workspace, limiter);
    }
    return limiter;
  }
}
