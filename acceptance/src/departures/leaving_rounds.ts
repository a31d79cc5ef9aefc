import { performance } from "node:perf_hooks";
import type { LeavingFleet } from "./leaving_fleet.ts";
import type { LeavingTroubles } from "./leaving_troubles.ts";

const MAX_LINGER_MILLISECONDS = 5_000;
const MIN_LINGER_MILLISECONDS = 1_500;
/** Within which a host that was told something is lost. */
const COMMIT_MILLISECONDS = 15;

type Options = {
  fleet: LeavingFleet;
  troubles: LeavingTroubles;
  controlNames: string[];
  random: () => number;
};

/** What is done to control hosts in one round. */
type Plan = {
  /** Before the servers that leave call. */
  before?: () => void;
  /** Between that and their first calls. */
  waitMilliseconds?: number;
  /** When they call. */
  during?: () => void;
  /** In the turn in which a host's first acknowledgement is read. */
  behind?: (host: number) => void;
};

/**
 * Has servers leave, one, some or half of them at once, while control hosts are
 * lost at a drawn step of it: before the call, while the log takes it, with the
 * answer, or all together.
 */
export class LeavingRounds {
  #options: Options;
  #running: Promise<void>[] = [];

  constructor(options: Options) {
    this.#options = options;
  }

  /** Runs rounds for so long, and waits until all that they began has ended. */
  async run(milliseconds: number): Promise<void> {
    const endAt = performance.now() + milliseconds;
    while (performance.now() < endAt) await this.#runRound();
    await Promise.all(this.#running);
  }

  async #runRound(): Promise<void> {
    const { fleet, controlNames } = this.#options;
    const target = this.#draw(controlNames.length);
    const plan = this.#drawPlan(target);
    plan.before?.();
    await sleep(plan.waitMilliseconds ?? 0);
    let isFirst = true;
    const leaving = this.#drawMembers().map(async (member) => {
      const { instance } = member.server;
      await fleet.leave(member, {
        drains: this.#options.random() < 0.4,
        lingerMilliseconds: MIN_LINGER_MILLISECONDS +
          this.#options.random() *
            (MAX_LINGER_MILLISECONDS - MIN_LINGER_MILLISECONDS),
        host: this.#options.random() < 0.7
          ? target
          : this.#draw(controlNames.length),
        onAcknowledged: (host) => {
          if (isFirst) plan.behind?.(host);
          isFirst = false;
        },
      });
      // One in three starts again under the id that it had.
      if (this.#options.random() < 0.3) await fleet.add(instance);
      else await fleet.add();
    });
    plan.during?.();
    await Promise.all(leaving);
    await Promise.all(this.#running);
  }

  #drawMembers() {
    const { ready } = this.#options.fleet;
    const kind = this.#options.random();
    const count = kind < 0.4
      ? 1
      : kind < 0.7
      ? 2
      : Math.floor(ready.length / 2);
    return ready.slice(0, Math.max(1, Math.min(count, ready.length - 2)));
  }

  #drawPlan(target: number): Plan {
    const { controlNames, random, troubles } = this.#options;
    const name = controlNames[target]!;
    const other = controlNames[(target + 1) % controlNames.length]!;
    const down = random() < 0.5 ? random() * 800 : 3_500 + random() * 2_500;
    const kill = (names: string[]) => this.#do(troubles.kill(names, down));
    const plans: Plan[] = [
      {},
      { behind: (host) => kill([controlNames[host]!]) },
      { behind: (host) => kill([controlNames[host]!]) },
      { behind: () => this.#do(troubles.kill(controlNames, random() * 800)) },
      {
        // Starts again at once, and is told before it knows the servers.
        before: () => this.#do(troubles.kill([name], 0)),
        waitMilliseconds: 200 + random() * 600,
        behind: (host) => kill([controlNames[host]!]),
      },
      {
        before: () => this.#do(troubles.kill(controlNames, 0)),
        waitMilliseconds: 300 + random() * 900,
      },
      {
        during: () =>
          this.#do(
            sleep(random() * COMMIT_MILLISECONDS).then(() =>
              troubles.kill([random() < 0.5 ? name : other], down)
            ),
          ),
      },
      {
        before: () => this.#do(troubles.freeze(other, random() * 3_000)),
        waitMilliseconds: random() * 600,
        behind: (host) => kill([controlNames[host]!]),
      },
      {
        before: () => this.#do(troubles.restartGracefully(name)),
        waitMilliseconds: random() * 300,
        behind: () => this.#do(troubles.freeze(other, 500 + random() * 2_000)),
      },
    ];
    return plans[this.#draw(plans.length)]!;
  }

  #draw(count: number): number {
    return Math.floor(this.#options.random() * count);
  }

  #do(trouble: Promise<void>): void {
    this.#running.push(trouble);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
