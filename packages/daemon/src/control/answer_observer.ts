import { AnswerVisibility } from "@teaselrouter/core/crashes/answer_visibility.ts";
import type { Survival } from "@teaselrouter/core/crashes/survival.ts";
import { WatchCoverage } from "@teaselrouter/core/crashes/watch_coverage.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** A gateway that follows this host. */
type GatewayWatcher = {
  /** To be called with each message of it. */
  hear: () => void;
  recordSurvivals: (survivals: Survival[]) => void;
  /** To be called when it no longer follows this host. */
  leave: () => void;
};

/** Observes which gateways see answers, and which backend servers give them. */
export class AnswerObserver {
  readonly coverage = new WatchCoverage();
  readonly answers = new AnswerVisibility();

  /** `runningMilliseconds` is the time since the gateway's process started. */
  addWatcher(runningMilliseconds: number): GatewayWatcher {
    const now = monotonicMilliseconds();
    const startedAt = now - runningMilliseconds;
    this.coverage.addWatcher(startedAt, now);
    const watcher = this.answers.join(startedAt, now);
    return {
      hear: () => this.answers.hear(watcher, monotonicMilliseconds()),
      recordSurvivals: (survivals) => {
        const heardAt = monotonicMilliseconds();
        for (const { begunAt } of survivals) {
          this.answers.recordSurvival(watcher, begunAt, heardAt);
        }
      },
      leave: () => {
        this.coverage.removeWatcher(monotonicMilliseconds());
        this.answers.leave(watcher);
      },
    };
  }

  /**
   * Records whether at least half of the servers are there: of those that run
   * models, if any does.
   */
  observeServers(
    servers: BackendAnnouncement[],
    hasEnded: (incarnation: string) => boolean,
  ): void {
    const there = servers.filter(({ state }) => state !== "gone");
    const engines = there.filter(({ models }) => models.length > 0);
    const asked = engines.length > 0 ? engines : there;
    const ended = asked.filter((server) => hasEnded(incarnationOf(server)));
    const isServing = 2 * ended.length <= asked.length;
    this.answers.recordServing(isServing, monotonicMilliseconds());
  }
}
