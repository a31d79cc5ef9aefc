import { WorkspaceLimiter } from "@teaselrouter/core/limits/workspace_limiter.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { Allotment } from "@teaselrouter/messages/control.ts";

/**
 * Holds one limiter per workspace, which enforces this entry host's share of
 * the workspace's contract. The leader allots this host a rate per workspace
 * (allotment). The host admits requests at that rate until the grant ends, then
 * at no more than its guaranteed share (floor), and at the guaranteed share
 * once the cap has ended or while it has no allotment. All times are Unix
 * milliseconds.
 */
export class LimitsRegistry {
  #limiters = new Map<string, WorkspaceLimiter>();

  /** Passes changed contracts and the number of entry hosts to the limiters. */
  updateContracts(state: ControlState, now: number): void {
    for (const contract of state.contracts.values()) {
      this.getLimiter(contract.workspace, now)
        .setContract(contract, state.entryHosts.size, now);
    }
  }

  /**
   * Applies the rates that the leader allotted to this host. `sentAt` is the
   * time at which this host sent the report that the allotment answers. The
   * grant is counted from then, so that the grant ends here no later than on
   * the leader. The cap is counted from `now`, so that the cap ends here no
   * earlier than on the leader.
   */
  setAllotments(allotment: Allotment, sentAt: number, now: number): void {
    for (const { workspace, rate } of allotment.allotments) {
      this.getLimiter(workspace, now).setAllotment({
        rate,
        grantUntil: sentAt + allotment.grantMilliseconds,
        capUntil: now + allotment.capMilliseconds,
      }, now);
    }
  }

  /** Recent requests per second by workspace, without idle workspaces. */
  demands(now: number): { workspace: string; rate: number }[] {
    return [...this.#limiters]
      .map(([workspace, limiter]) => ({
        workspace,
        rate: limiter.demand(now),
      }))
      .filter(({ rate }) => rate > 0);
  }

  /** Returns the workspace's limiter; creates it on first use. */
  getLimiter(workspace: string, now: number): WorkspaceLimiter {
    let limiter = this.#limiters.get(workspace);
    if (limiter === undefined) {
      limiter = new WorkspaceLimiter(now);
      this.#limiters.set(workspace, limiter);
    }
    return limiter;
  }
}
