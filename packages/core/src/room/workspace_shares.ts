import { divideByDemand } from "../limits/divide_by_demand.ts";
import { DecayingRate } from "./decaying_rate.ts";
import type { WorkspaceShare } from "./workspace_share.ts";

/** Long enough for a few requests of a small workspace. */
const WINDOW_MILLISECONDS = 10_000;
const UPDATE_INTERVAL_MILLISECONDS = 250;
/** Standard deviations by which a workspace exceeds its share by chance. */
const CHANCE_DEVIATIONS = 1;
/**
 * Room that is divided, as a multiple of what was used. Divided without growth,
 * room that was once left unused would never be given out again.
 */
const GROWTH_FACTOR = 1.2;
/** More workspaces than this are not told apart. */
const MAX_WORKSPACES = 1_024;

type Workspace = {
  asked: DecayingRate;
  used: DecayingRate;
};

/**
 * Divides the room that requests of one urgency get among their workspaces, by
 * max-min fairness: one that asks for less than its share gets all of it.
 */
export class WorkspaceShares {
  #workspaces = new Map<string, Workspace>();
  #startedAt: number;
  /** Largest share, requests a millisecond; a smaller one is all asked for. */
  #level = Infinity;
  #dividedAt = -Infinity;

  /** @param startedAt since when this host gets requests, monotonic ms. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  recordAsked(name: string, now: number): void {
    this.#workspaceOf(name)?.asked.add(1, now);
  }

  recordUsed(name: string, now: number): void {
    this.#workspaceOf(name)?.used.add(1, now);
  }

  /** Whether a workspace has used its share and asks for more. */
  isOver(name: string, now: number): boolean {
    this.#divide(now);
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined) return false;
    const expected = this.#level * WINDOW_MILLISECONDS;
    const allowed = expected + 1 + CHANCE_DEVIATIONS * Math.sqrt(expected);
    return workspace.asked.at(now) > this.#level &&
      workspace.used.at(now) * WINDOW_MILLISECONDS > allowed;
  }

  /** Whether a workspace asks for no more than its share. */
  isWithin(name: string, now: number): boolean {
    this.#divide(now);
    const workspace = this.#workspaces.get(name);
    return workspace !== undefined &&
      workspace.asked.at(now) <= this.#level;
  }

  find(workspace: string, now: number): WorkspaceShare | undefined {
    const found = this.#workspaces.get(workspace);
    return found && this.#describe(workspace, found, now);
  }

  /** Those that ask for most. */
  listLargest(count: number, now: number): WorkspaceShare[] {
    return [...this.#workspaces]
      .map(([name, workspace]) => this.#describe(name, workspace, now))
      .sort((left, right) => right.asked - left.asked)
      .slice(0, count);
  }

  #divide(now: number): void {
    if (now - this.#dividedAt < UPDATE_INTERVAL_MILLISECONDS) return;
    this.#dividedAt = now;
    let total = 0;
    const demands: { host: string; rate: number }[] = [];
    for (const [name, { asked, used }] of this.#workspaces) {
      total += used.at(now);
      demands.push({ host: name, rate: asked.at(now) });
    }
    this.#level = Math.max(
      ...divideByDemand(total * GROWTH_FACTOR, demands).values(),
    );
  }

  #workspaceOf(name: string): Workspace | undefined {
    const known = this.#workspaces.get(name);
    if (known !== undefined) return known;
    if (this.#workspaces.size >= MAX_WORKSPACES) return undefined;
    const workspace = {
      asked: new DecayingRate(WINDOW_MILLISECONDS, this.#startedAt),
      used: new DecayingRate(WINDOW_MILLISECONDS, this.#startedAt),
    };
    this.#workspaces.set(name, workspace);
    return workspace;
  }

  #describe(
    workspace: string,
    { asked, used }: Workspace,
    now: number,
  ): WorkspaceShare {
    return {
      workspace,
      asked: 1_000 * asked.at(now),
      used: 1_000 * used.at(now),
      share: 1_000 * Math.min(asked.at(now), this.#level),
    };
  }
}
