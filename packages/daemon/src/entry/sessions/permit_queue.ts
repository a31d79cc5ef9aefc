import type { PermitRow } from "@teaselrouter/core/rollout/permit_row.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import type { ControlSession } from "./control_session.ts";

const PROPOSAL_MILLISECONDS = 3_000;
const ASK_AGAIN_MILLISECONDS = 500;
const FORGOTTEN_MILLISECONDS = 2_000;

type Request = CommandOf<"request-permit">;

type Waiting = {
  request: Request;
  askedAt: number;
  grant: (permit: PermitRow) => void;
};

/**
 * Agents of this entry host that wait for leave to load, by service. Only
 * the first of each service is proposed: when a spread ends, hundreds ask at
 * once, and all but a few would be refused by the log again and again.
 */
export class PermitQueue {
  #control: ControlSession;
  #waiting = new Map<string, Waiting[]>();
  #asking = new Set<string>();
  #timer: NodeJS.Timeout;

  constructor(control: ControlSession) {
    this.#control = control;
    control.changed$.subscribe(() => this.#askAll());
    this.#timer = setInterval(() => this.#askAll(), ASK_AGAIN_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Agents ask again while they wait; each waits once. */
  add(request: Request, grant: (permit: PermitRow) => void): void {
    const waiting = this.#waiting.get(request.service) ?? [];
    this.#waiting.set(request.service, waiting);
    const known = waiting.find((one) =>
      one.request.backendServer === request.backendServer
    );
    const entry = { request, grant, askedAt: Date.now() };
    if (known === undefined) waiting.push(entry);
    else Object.assign(known, entry);
    this.#ask(request.service);
  }

  #askAll(): void {
    for (const service of this.#waiting.keys()) this.#ask(service);
  }

  async #ask(service: string): Promise<void> {
    if (this.#asking.has(service)) return;
    this.#asking.add(service);
    try {
      while (await this.#askFirst(service)) {
        /* the next may be granted too */
      }
    } finally {
      this.#asking.delete(service);
    }
  }

  async #askFirst(service: string): Promise<boolean> {
    const waiting = this.#waiting.get(service)!;
    const now = Date.now();
    while (
      waiting.length > 0 && now - waiting[0]!.askedAt > FORGOTTEN_MILLISECONDS
    ) waiting.shift();
    const first = waiting[0];
    if (first === undefined) return false;
    const reply = await this.#control.propose(
      first.request,
      PROPOSAL_MILLISECONDS,
    );
    if (reply.kind !== "committed") return false;
    const refusedForShare = !reply.answer.accepted &&
      reply.answer.reason === "serving-share-would-be-broken";
    if (refusedForShare) return false;
    waiting.splice(waiting.indexOf(first), 1);
    if (reply.answer.accepted) first.grant(reply.answer.value as PermitRow);
    return true;
  }
}
