import type { PeerMessage } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import { Subject } from "rxjs";
import type { ClientPool } from "../transport/client_pool.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const RECONNECT_MILLISECONDS = 100;
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 500;

type Link = {
  outgoing: Subject<PeerMessage>;
  stop: AbortController;
  /**
   * When the first message since the last acknowledgement was sent; 0 if none
   * was sent since.
   */
  unansweredSince: number;
};

/**
 * Sends Raft messages to the other members, over one stream each. Messages that
 * can't be sent are dropped, because Raft retries by itself.
 */
export class PeerLinks {
  #clients: ClientPool;
  #links = new Map<string, Link>();
  #failedAt = new Map<string, number>();

  constructor(clients: ClientPool) {
    this.#clients = clients;
  }

  send(address: string, message: PeerMessage): void {
    const now = monotonicMilliseconds();
    const link = this.#usableLink(address, now);
    if (link === undefined) return;
    if (link.unansweredSince === 0) link.unansweredSince = now;
    link.outgoing.next(message);
  }

  close(): void {
    for (const link of this.#links.values()) link.stop.abort();
  }

  /**
   * Returns the link to a member, or a new one if it has not acknowledged
   * anything for 500 ms. After a member restarts, the old stream to it can stay
   * open and lose everything written to it. Without a new link, the other
   * members' responses to it were lost, and it could not lead for 4 s.
   */
  #usableLink(address: string, now: number): Link | undefined {
    const link = this.#links.get(address);
    if (link === undefined) return this.#open(address, now);
    const { unansweredSince } = link;
    const isSilent = unansweredSince > 0 &&
      now - unansweredSince > ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS;
    if (!isSilent) return link;
    this.#clients.dropConnection(address);
    this.#links.delete(address);
    link.stop.abort();
    return this.#open(address, now);
  }

  #open(address: string, now: number): Link | undefined {
    const failedAt = this.#failedAt.get(address) ?? -Infinity;
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
      this.#clients.dropConnection(address);
    }
    link.outgoing.complete();
    if (this.#links.get(address) !== link) return;
    this.#failedAt.set(address, monotonicMilliseconds());
    this.#links.delete(address);
  }
}
