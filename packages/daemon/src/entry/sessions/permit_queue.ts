import { findPermitRefusal } from "@teaselrouter/core/rollout/find_permit_refusal.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import type { ControlSession } from "./control_session.ts";

const PROPOSAL_TIMEOUT_MILLISECONDS = 3_000;
const RETRY_INTERVAL_MILLISECONDS = 500;
/** A request that its agent has not repeated for this long is dropped. */
const REQUEST_EXPIRY_MILLISECONDS = 2_000;

type Request = CommandOf<"request-permit">;

type QueuedRequest = {
  request: Request;
  requestedAt: number;
};

/**
 * Queues the requests of this entry host's agents for permits to load new
 * weights, by service. Only the first request of each service is proposed to
 * the replicated log: when a spread ends, hundreds of agents ask at once, and
 * the log would refuse all but a few of them again and again.
 */
export class PermitQueue {
  #control: ControlSession;
  #queues = new Map<string, QueuedRequest[]>();
  #servicesInProgress = new Set<string>();
  #timer: NodeJS.Timeout;

  constructor(control: ControlSession) {
    this.#control = control;
    control.changed$.subscribe(() => this.#proposeForAllServices());
    this.#timer = setInterval(
      () => this.#proposeForAllServices(),
      RETRY_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Queues a request. Agents repeat their request while they wait; a repeated
   * one replaces the earlier one in its place, so that each backend server is
   * queued once.
   */
  add(request: Request): void {
    const queue = this.#queues.get(request.service) ?? [];
    this.#queues.set(request.service, queue);
    const existing = queue.find((candidate) =>
      candidate.request.backendServer === request.backendServer
    );
    const queued = { request, requestedAt: Date.now() };
    if (existing === undefined) queue.push(queued);
    else Object.assign(existing, queued);
    this.#proposeForService(request.service);
  }

  #proposeForAllServices(): void {
    for (const service of this.#queues.keys()) this.#proposeForService(service);
  }

  /** Proposes the requests of a service one by one until one must wait. */
  async #proposeForService(service: string): Promise<void> {
    if (this.#servicesInProgress.has(service)) return;
    this.#servicesInProgress.add(service);
    try {
      while (await this.#proposeFirst(service)) {
        /* The next request may be granted too. */
      }
    } finally {
      this.#servicesInProgress.delete(service);
    }
  }

  /**
   * Proposes the first request of a service. Returns whether it was decided and
   * so removed. The request stays queued if it was not committed, or while too
   * few backend servers would be left serving. Where the tables here say so
   * already, it is not proposed: a refused request is an entry of the log, too.
   */
  async #proposeFirst(service: string): Promise<boolean> {
    const queue = this.#queues.get(service)!;
    const now = Date.now();
    while (
      queue.length > 0 &&
      now - queue[0]!.requestedAt > REQUEST_EXPIRY_MILLISECONDS
    ) queue.shift();
    const first = queue[0];
    if (first === undefined) return false;
    if (mustWait(findPermitRefusal(this.#control.state, first.request, now))) {
      return false;
    }
    const reply = await this.#control.propose(
      first.request,
      PROPOSAL_TIMEOUT_MILLISECONDS,
    );
    if (reply.kind !== "committed") return false;
    const { result } = reply;
    if (!result.accepted && mustWait(result.reason)) return false;
    queue.splice(queue.indexOf(first), 1);
    return true;
  }
}

function mustWait(reason: string | undefined): boolean {
  return reason === "serving-share-would-be-broken";
}
