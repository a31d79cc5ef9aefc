import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { mayOpenNext } from "@teaselrouter/core/membership/may_open_next.ts";
import { rendezvousOwner } from "@teaselrouter/core/spread/rendezvous_owner.ts";
import type { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import type {
  AgentToEntry,
  EntryToAgent,
} from "@teaselrouter/messages/agent.ts";
import {
  AgentService,
  AgentToEntrySchema,
} from "@teaselrouter/messages/agent.ts";
import { Subject } from "rxjs";
import type { ClientPool } from "./client_pool.ts";
import { pause } from "./pause.ts";
import { toAsyncIterable } from "./to_async_iterable.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

const BEAT_MILLISECONDS = 500;
const SILENT_MILLISECONDS = 3_000;
const RECONNECT_MILLISECONDS = 200;
/** How often a link that waits for its turn looks whether it has come. */
const TURN_MILLISECONDS = 40;

type Body = MessageInitShape<typeof AgentToEntrySchema>["body"];

type Link = {
  address: string;
  outgoing: Subject<AgentToEntry> | undefined;
  /** Ends the stream that is open or being opened. */
  stop: AbortController;
  openedAt: number;
  heardAt: number;
  /** Known from the entry host's heartbeats. */
  host: string;
  dataCentre: string;
  /** It is not among the hosts any more. */
  isLeft: boolean;
};

function newLink(address: string): Link {
  return {
    address,
    outgoing: undefined,
    stop: new AbortController(),
    openedAt: 0,
    heardAt: 0,
    host: "",
    dataCentre: "",
    isLeft: false,
  };
}

function inRandomOrder(addresses: string[]): string[] {
  return addresses
    .map((address) => ({ address, place: Math.random() }))
    .sort((left, right) => left.place - right.place)
    .map(({ address }) => address);
}

type Options = {
  addresses: string[];
  dataCentre: string;
  clients: ClientPool;
  ring: TimelineRing;
  /** What a new connection is told first. */
  greet: (address: string) => Body[];
  /** What every connection is told at a beat; undefined for nothing new. */
  beat: () => Body | undefined;
  /** With nothing new to say, every so many beats show life. */
  quietBeats: number;
  /** Whether a host of another data centre may plan where none is near. */
  takesFarPlans?: boolean;
};

/** This agent's streams to the entry hosts. */
export class EntryLinks {
  readonly incoming$ = new Subject<
    { address: string; message: EntryToAgent }
  >();
  /** Another entry host now plans for this agent. */
  readonly coordinatorChanged$ = new Subject<void>();
  #options: Options;
  #links: Link[];
  #coordinator = "";
  #quietBeats = 0;
  #stopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#links = inRandomOrder(options.addresses).map(newLink);
  }

  start(): void {
    this.#timer = setInterval(() => this.#beat(), BEAT_MILLISECONDS);
    for (const link of this.#links) this.#run(link);
  }

  /** Turns to the hosts that there are now. */
  setAddresses(addresses: string[]): void {
    if (this.#stopped || addresses.length === 0) return;
    for (const link of this.#links) {
      if (addresses.includes(link.address)) continue;
      link.isLeft = true;
      link.stop.abort();
    }
    this.#links = this.#links.filter((link) => !link.isLeft);
    for (const address of addresses) {
      if (this.#links.some((link) => link.address === address)) continue;
      const link = newLink(address);
      this.#links.push(link);
      this.#run(link);
    }
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    for (const link of this.#links) {
      link.outgoing?.complete();
      link.stop.abort();
    }
  }

  /** Address of the entry host whose plans are followed; empty for none. */
  get coordinator(): string {
    return this.#coordinator;
  }

  send(address: string, body: Body): void {
    const link = this.#links.find((known) => known.address === address);
    if (link?.outgoing === undefined) return;
    const clock = this.#options.ring.now(Date.now());
    link.outgoing.next(create(AgentToEntrySchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }

  /** `bodyFor` gives nothing for a host that need not be told. */
  broadcast(bodyFor: (address: string) => Body | undefined): void {
    for (const { address, outgoing } of this.#links) {
      const body = outgoing && bodyFor(address);
      if (body !== undefined) this.send(address, body);
    }
  }

  /** A connected entry host, for a question that any can answer. */
  get anyConnected(): string | undefined {
    return this.#coordinator ||
      this.#links.find((link) => link.outgoing !== undefined)?.address;
  }

  async #run(link: Link): Promise<void> {
    while (!this.#stopped && !link.isLeft) {
      if (!this.#mayOpenNext()) {
        await pause(TURN_MILLISECONDS);
        continue;
      }
      await this.#connect(link);
      if (!this.#stopped) await pause(RECONNECT_MILLISECONDS);
    }
  }

  #mayOpenNext(): boolean {
    const openings = this.#links
      .filter(({ outgoing }) => outgoing !== undefined)
      .map(({ openedAt, host }) => ({ openedAt, isHeard: host !== "" }));
    return mayOpenNext(openings, monotonicMilliseconds());
  }

  async #connect(link: Link): Promise<void> {
    const { clients, greet } = this.#options;
    const outgoing = new Subject<AgentToEntry>();
    link.stop = new AbortController();
    link.heardAt = monotonicMilliseconds();
    link.openedAt = link.heardAt;
    const client = clients.client(AgentService, link.address);
    try {
      const incoming = client.session(toAsyncIterable(outgoing), {
        signal: link.stop.signal,
      });
      link.outgoing = outgoing;
      for (const body of greet(link.address)) this.send(link.address, body);
      for await (const message of incoming) this.#take(link, message);
    } catch {
      clients.renew(link.address);
    } finally {
      outgoing.complete();
      link.outgoing = undefined;
      link.host = "";
      this.#chooseCoordinator();
    }
  }

  #take(link: Link, message: EntryToAgent): void {
    link.heardAt = monotonicMilliseconds();
    this.#options.ring.observe(Date.now(), {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    if (message.body.case === "heartbeat") {
      const { host, dataCentre, addresses } = message.body.value;
      link.dataCentre = dataCentre;
      this.setAddresses(addresses);
      if (link.host !== host) {
        link.host = host;
        this.#chooseCoordinator();
      }
    }
    this.incoming$.next({ address: link.address, message });
  }

  /**
   * All agents of a data centre that reach the same entry hosts choose the
   * same one, without a word between the entry hosts; when it is gone they
   * all turn to the next.
   */
  #chooseCoordinator(): void {
    const { dataCentre, takesFarPlans } = this.#options;
    const connected = this.#links.filter((link) => link.host !== "");
    const near = connected.filter((link) => link.dataCentre === dataCentre);
    const choices = near.length === 0 && takesFarPlans ? connected : near;
    const owner = rendezvousOwner(dataCentre, choices.map(({ host }) => host));
    const chosen = choices.find(({ host }) => host === owner)?.address ?? "";
    if (chosen === this.#coordinator) return;
    this.#coordinator = chosen;
    this.coordinatorChanged$.next();
  }

  #dropSilent(): void {
    const now = monotonicMilliseconds();
    for (const { heardAt, stop } of this.#links) {
      if (now - heardAt > SILENT_MILLISECONDS) stop.abort();
    }
  }

  #beat(): void {
    this.#dropSilent();
    const body = this.#options.beat();
    this.#quietBeats = body === undefined ? this.#quietBeats + 1 : 0;
    if (body !== undefined) return this.broadcast(() => body);
    if (this.#quietBeats % this.#options.quietBeats === 0) {
      this.broadcast(() => ({ case: "heartbeat", value: {} }));
    }
  }
}
