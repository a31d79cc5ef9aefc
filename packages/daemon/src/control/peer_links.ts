import type { PeerMessage } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import { Subject } from "rxjs";
import type { ClientPool } from "../transport/client_pool.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";

const RECONNECT_MILLISECONDS = 100;

type Link = { outgoing: Subject<PeerMessage> };

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
    const link = this.#links.get(address) ?? this.#open(address);
    link?.outgoing.next(message);
  }

  close(): void {
    for (const link of this.#links.values()) link.outgoing.complete();
  }

  #open(address: string): Link | undefined {
    const failedAt = this.#failed.get(address) ?? -Infinity;
    if (Date.now() - failedAt < RECONNECT_MILLISECONDS) return undefined;
    const link: Link = { outgoing: new Subject() };
    this.#links.set(address, link);
    this.#run(address, link);
    return link;
  }

  async #run(address: string, link: Link): Promise<void> {
    const client = this.#clients.client(PeerService, address);
    try {
      await client.exchange(toAsyncIterable(link.outgoing));
    } catch {
      this.#clients.renew(address);
    }
    this.#failed.set(address, Date.now());
    link.outgoing.complete();
    if (this.#links.get(address) === link) this.#links.delete(address);
  }
}
