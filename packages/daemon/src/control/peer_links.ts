import type { PeerMessage } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import { Subject } from "rxjs";
import type { ClientPool } from "../transport/client_pool.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const RECONNECT_MILLISECONDS = 100;
const UNANSWERED_MILLISECONDS = 500;

type Link = {
  outgoing: Subject<PeerMessage>;
  stop: AbortController;
  /** Since when something sent has not been acknowledged; 0 for nothing. */
  unansweredSince: number;
};

/**
 * Carries consensus messages to the other members, one stream each. What
 * can't be sent is dropped: consensus asks again by itself.
 */
export class PeerLinks {
  #clients: ClientPool;
  #links = new Map<string, Link>();
  #failed = new Map<string, number>();

  constructor(clients: ClientPool) {
    this.#clients = clients;
  }

  send(address: string, message: PeerMessage): void {
    const now = monotonicMilliseconds();
    const link = this.#working(address, now);
    if (link === undefined) return;
    if (link.unansweredSince === 0) link.unansweredSince = now;
    link.outgoing.next(message);
  }

  close(): void {
    for (const link of this.#links.values()) link.stop.abort();
  }

  /**
   * The link, or a new one. A stream whose other end is gone can stay open
   * for good and swallow what it is given: when a member restarts, the
   * others' answers to it went into such a stream, and it led no more for
   * four seconds. So one that does not answer is left for a new one.
   */
  #working(address: string, now: number): Link | undefined {
    const link = this.#links.get(address);
    if (link === undefined) return this.#open(address, now);
    const { unansweredSince } = link;
    const silent = unansweredSince > 0 &&
      now - unansweredSince > UNANSWERED_MILLISECONDS;
    if (!silent) return link;
    this.#clients.renew(address);
    this.#links.delete(address);
    link.stop.abort();
    return this.#open(address, now);
  }

  #open(address: string, now: number): Link | undefined {
    const failedAt = this.#failed.get(address) ?? -Infinity;
    if (now - failedAt < RECONNECT_MILLISECONDS) return undefined;
    const link: Link = {
      outgoing: new Subject(),
      stop: new AbortController(),
      unansweredSince: 0,
    };
    this.#links.set(address, link);
    this.#run(address, link);
    return link;
  }

  async #run(address: string, link: Link): Promise<void> {
    const client = this.#clients.client(PeerService, address);
    try {
      const acknowledgements = client.exchange(
        toAsyncIterable(link.outgoing),
        { signal: link.stop.signal },
      );
      for await (const _ of acknowledgements) link.unansweredSince = 0;
    } catch {
      this.#clients.renew(address);
    }
    link.outgoing.complete();
    if (this.#links.get(address) !== link) return;
    this.#failed.set(address, monotonicMilliseconds());
    this.#links.delete(address);
  }
}
