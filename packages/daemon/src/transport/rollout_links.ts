import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { mayOpenNextStream } from "@teaselrouter/core/membership/may_open_next_stream.ts";
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
import { sleep } from "./sleep.ts";
import { toAsyncIterable } from "./to_async_iterable.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

const BEAT_INTERVAL_MILLISECONDS = 500;
const SILENCE_TIMEOUT_MILLISECONDS = 3_000;
const RECONNECT_DELAY_MILLISECONDS = 200;
/** How often a closed link checks whether it may open its stream. */
const OPEN_POLL_MILLISECONDS = 40;

type MessageBody = MessageInitShape<typeof AgentToEntrySchema>["body"];

type Link = {
  address: string;
  /** Undefined unless a stream is open or being opened. */
  outgoing: Subject<AgentToEntry> | undefined;
  /** Aborts the stream that is open or being opened. */
  stop: AbortController;
  /** When the stream was last opened, monotonic milliseconds. */
  openedAt: number;
  /** Last message on the stream, or its opening; monotonic milliseconds. */
  lastMessageAt: number;
  /** Name from the host's heartbeats; empty before the first one. */
  host: string;
  /** From the host's heartbeats. */
  dataCentre: string;
  /** The address has been removed; the link doesn't reconnect. */
  isRemoved: boolean;
};

function createLink(address: string): Link {
  return {
    address,
    outgoing: undefined,
    stop: new AbortController(),
    openedAt: 0,
    lastMessageAt: 0,
    host: "",
    dataCentre: "",
    isRemoved: false,
  };
}

function shuffle(addresses: string[]): string[] {
  return addresses
    .map((address) => ({ address, rank: Math.random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ address }) => address);
}

type Options = {
  addresses: string[];
  dataCentre: string;
  clients: ClientPool;
  timeline: TimelineRing;
  /** First messages on a new stream to `address`. */
  createInitialMessages: (address: string) => MessageBody[];
  /**
   * Message to every host, asked for at each beat of 500 ms; undefined
   * when nothing has changed.
   */
  createBeatMessage: () => MessageBody | undefined;
  /** While nothing changes, every how many beats a heartbeat is sent. */
  beatsPerHeartbeat: number;
  /**
   * Whether a host of another data centre may be the coordinator while
   * none of this data centre is connected. False by default.
   */
  allowsRemoteCoordinator?: boolean;
};

/**
 * The streams of an agent to the entry hosts, or of a stager to the control
 * hosts ("hosts" below). Streams that end, or on which no message arrives for
 * too long, are opened again.
 */
export class RolloutLinks {
  readonly incoming$ = new Subject<
    { address: string; message: EntryToAgent }
  >();
  /** `coordinator` has changed. */
  readonly coordinatorChanged$ = new Subject<void>();
  #options: Options;
  #links: Link[];
  #coordinator = "";
  #beatsWithoutMessage = 0;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#links = shuffle(options.addresses).map(createLink);
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#sendBeat(),
      BEAT_INTERVAL_MILLISECONDS,
    );
    for (const link of this.#links) this.#run(link);
  }

  /**
   * Opens links to addresses that are new and aborts those to addresses that
   * are no longer listed. An empty list is ignored.
   */
  setAddresses(addresses: string[]): void {
    if (this.#isStopped || addresses.length === 0) return;
    for (const link of this.#links) {
      if (addresses.includes(link.address)) continue;
      link.isRemoved = true;
      link.stop.abort();
    }
    this.#links = this.#links.filter((link) => !link.isRemoved);
    for (const address of addresses) {
      if (this.#links.some((link) => link.address === address)) continue;
      const link = createLink(address);
      this.#links.push(link);
      this.#run(link);
    }
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    for (const link of this.#links) {
      link.outgoing?.complete();
      link.stop.abort();
    }
  }

  /**
   * Address of the host whose plans for fetching weights this agent or stager
   * follows; empty for none.
   */
  get coordinator(): string {
    return this.#coordinator;
  }

  /** Drops the message if no stream to `address` is open or being opened. */
  send(address: string, body: MessageBody): void {
    const link = this.#links.find((known) => known.address === address);
    if (link?.outgoing === undefined) return;
    const clock = this.#options.timeline.stampMessage(Date.now());
    link.outgoing.next(create(AgentToEntrySchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }

  /**
   * Sends a message on every stream. `bodyFor` returns undefined for a host
   * that gets none.
   */
  broadcast(bodyFor: (address: string) => MessageBody | undefined): void {
    for (const { address, outgoing } of this.#links) {
      const body = outgoing && bodyFor(address);
      if (body !== undefined) this.send(address, body);
    }
  }

  /**
   * Address for a message that any host can handle: the coordinator's, or
   * else one to which a stream is open or being opened; undefined for none.
   */
  get anyConnectedAddress(): string | undefined {
    return this.#coordinator ||
      this.#links.find((link) => link.outgoing !== undefined)?.address;
  }

  async #run(link: Link): Promise<void> {
    while (!this.#isStopped && !link.isRemoved) {
      if (!this.#mayOpenNextStream()) {
        await sleep(OPEN_POLL_MILLISECONDS);
        continue;
      }
      await this.#connect(link);
      if (!this.#isStopped) await sleep(RECONNECT_DELAY_MILLISECONDS);
    }
  }

  #mayOpenNextStream(): boolean {
    const openings = this.#links
      .filter(({ outgoing }) => outgoing !== undefined)
      .map(({ openedAt, host }) => ({ openedAt, hasReceived: host !== "" }));
    return mayOpenNextStream(openings, monotonicMilliseconds());
  }

  async #connect(link: Link): Promise<void> {
    const { clients, createInitialMessages } = this.#options;
    const outgoing = new Subject<AgentToEntry>();
    link.stop = new AbortController();
    link.lastMessageAt = monotonicMilliseconds();
    link.openedAt = link.lastMessageAt;
    const client = clients.client(AgentService, link.address);
    try {
      const incoming = client.session(toAsyncIterable(outgoing), {
        signal: link.stop.signal,
      });
      link.outgoing = outgoing;
      for (const body of createInitialMessages(link.address)) {
        this.send(link.address, body);
      }
      for await (const message of incoming) this.#handleMessage(link, message);
    } catch {
      clients.dropConnection(link.address);
    } finally {
      outgoing.complete();
      link.outgoing = undefined;
      link.host = "";
      this.#chooseCoordinator();
    }
  }

  #handleMessage(link: Link, message: EntryToAgent): void {
    link.lastMessageAt = monotonicMilliseconds();
    this.#options.timeline.observe(Date.now(), {
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
   * Rendezvous hashing by data centre: all its agents or stagers that reach the
   * same hosts choose the same coordinator without any message between the
   * hosts, and when it is lost they all choose the same next one.
   */
  #chooseCoordinator(): void {
    const { dataCentre, allowsRemoteCoordinator } = this.#options;
    const connected = this.#links.filter((link) => link.host !== "");
    const local = connected.filter((link) => link.dataCentre === dataCentre);
    const candidates = local.length === 0 && allowsRemoteCoordinator
      ? connected
      : local;
    const owner = rendezvousOwner(
      dataCentre,
      candidates.map(({ host }) => host),
    );
    const chosen = candidates.find(({ host }) => host === owner)?.address ?? "";
    if (chosen === this.#coordinator) return;
    this.#coordinator = chosen;
    this.coordinatorChanged$.next();
  }

  #abortSilent(): void {
    const now = monotonicMilliseconds();
    for (const { lastMessageAt, stop } of this.#links) {
      if (now - lastMessageAt > SILENCE_TIMEOUT_MILLISECONDS) stop.abort();
    }
  }

  #sendBeat(): void {
    this.#abortSilent();
    const body = this.#options.createBeatMessage();
    this.#beatsWithoutMessage = body === undefined
      ? this.#beatsWithoutMessage + 1
      : 0;
    if (body !== undefined) return this.broadcast(() => body);
    if (this.#beatsWithoutMessage % this.#options.beatsPerHeartbeat === 0) {
      this.broadcast(() => ({ case: "heartbeat", value: {} }));
    }
  }
}
