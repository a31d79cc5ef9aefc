import type { BackendStanding } from "./backend_standing.ts";
import { isLaterStanding } from "./is_later_standing.ts";

/** Later than anything one start says. */
const LAST_SEQUENCE = Number.MAX_SAFE_INTEGER;

type Entry = { standing: BackendStanding; heardAt: number };

type Options = {
  /** Without a word for so long a backend server counts as gone. */
  silentMilliseconds: number;
  /** How long an end is remembered against late heartbeats. */
  forgetMilliseconds: number;
};

/**
 * The backend servers that announced themselves, as soft state: whoever
 * restarts hears it all again within a heartbeat, and hosts that merge what
 * they heard agree, in whichever order it came.
 */
export class BackendRegistry {
  #options: Options;
  #entries = new Map<string, Entry>();
  /** Looked up for every request; undefined when it has to be made anew. */
  #live: BackendStanding[] | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** All that are not gone. */
  live(): readonly BackendStanding[] {
    this.#live ??= this.all().filter(({ state }) => state !== "gone");
    return this.#live;
  }

  /** All, and the ends still remembered. */
  all(): BackendStanding[] {
    return [...this.#entries.values()].map(({ standing }) => standing);
  }

  get(instance: string): BackendStanding | undefined {
    return this.#entries.get(instance)?.standing;
  }

  /** When an instance was last heard of; 0 for never. */
  heardAt(instance: string): number {
    return this.#entries.get(instance)?.heardAt ?? 0;
  }

  /**
   * Takes a word in; gives back the standings that it changed in something
   * that matters to routing, none when it came late.
   */
  take(standing: BackendStanding, now: number): BackendStanding[] {
    const known = this.#entries.get(standing.instance);
    if (known !== undefined && !isLaterStanding(standing, known.standing)) {
      return [];
    }
    this.#set(standing, now);
    const changed = known === undefined ||
      !saysTheSame(known.standing, standing);
    return [
      ...(changed ? [standing] : []),
      ...this.#endOthersAt(standing, now),
    ];
  }

  /**
   * Ends an instance that said so itself: nothing that this start said
   * earlier and that comes late can bring it back.
   */
  leave(instance: string, now: number): BackendStanding[] {
    return this.#end(instance, now, LAST_SEQUENCE);
  }

  /** Ends what fell silent and forgets old ends; gives back the new ends. */
  expire(now: number): BackendStanding[] {
    const { silentMilliseconds, forgetMilliseconds } = this.#options;
    const ended: BackendStanding[] = [];
    for (const [instance, { standing, heardAt }] of [...this.#entries]) {
      const silence = now - heardAt;
      if (standing.state !== "gone") {
        if (silence > silentMilliseconds) {
          ended.push(...this.#end(instance, now, standing.sequence));
        }
      } else if (silence > forgetMilliseconds) this.#entries.delete(instance);
    }
    return ended;
  }

  #end(instance: string, now: number, sequence: number): BackendStanding[] {
    const known = this.#entries.get(instance)?.standing;
    if (known === undefined || known.state === "gone") return [];
    const standing: BackendStanding = { ...known, state: "gone", sequence };
    this.#set(standing, now);
    return [standing];
  }

  #set(standing: BackendStanding, heardAt: number): void {
    this.#entries.set(standing.instance, { standing, heardAt });
    this.#live = undefined;
  }

  /** An address has one backend server: an earlier one there has ended. */
  #endOthersAt(latest: BackendStanding, now: number): BackendStanding[] {
    if (latest.state === "gone") return [];
    const ended: BackendStanding[] = [];
    for (const [instance, { standing }] of [...this.#entries]) {
      if (
        instance === latest.instance || standing.state === "gone" ||
        standing.address !== latest.address ||
        standing.bornAt > latest.bornAt
      ) continue;
      ended.push(...this.#end(instance, now, LAST_SEQUENCE));
    }
    return ended;
  }
}

function saysTheSame(left: BackendStanding, right: BackendStanding): boolean {
  return left.state === right.state && left.bornAt === right.bornAt &&
    left.address === right.address && left.service === right.service &&
    left.slots === right.slots && left.dataCentre === right.dataCentre &&
    JSON.stringify(left.models) === JSON.stringify(right.models);
}
