import { mayOpenNextStream } from "@teaselrouter/core/membership/may_open_next_stream.ts";
import { rendezvousOwner } from "@teaselrouter/core/spread/rendezvous_owner.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { FollowLink } from "./follow_link.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import type { FollowerUpdate } from "./follower_update.ts";

/**
 * How often the links are checked and replaced; several times within the
 * silence timeout of a stream to a control host.
 */
const UPDATE_INTERVAL_MILLISECONDS = 200;
/**
 * A control host that has sent nothing for so long is replaced by another one,
 * if there is one.
 */
const UNREACHABLE_TIMEOUT_MILLISECONDS = 2_500;

/**
 * Once a control host has been replaced as unreachable, others are preferred to
 * it for so long.
 */
const RETRY_DELAY_MILLISECONDS = 5_000;

type Options = {
  hello: { host: string; dataCentre: string; isControl: boolean };
  /** Own address, which is never followed; empty for none. */
  selfAddress: string;
  /** Addresses of control hosts from the settings. */
  seeds: string[];
  /** Maximum number of control hosts to follow at once. */
  maxLinks: number;
  clients: ClientPool;
  log: EventLog;
  /**
   * Update for a control host that may know nothing yet, sent on each new
   * stream; undefined for none.
   */
  initialUpdate?: () => FollowerUpdate | undefined;
};

/**
 * Follows several control hosts at once, so that each update arrives from the
 * fastest of them and the loss of one interrupts nothing. They are chosen by
 * rendezvous hashing, which spreads the followers over the control hosts.
 */
export class FollowSet {
  /** From all followed control hosts; `address` is the sender's. */
  readonly updates$ = new Subject<
    { address: string; update: ControlUpdate }
  >();
  #options: Options;
  #seeds: string[];
  #knownAddresses: string[] = [];
  #links = new Map<string, { link: FollowLink; openedAt: number }>();
  #retryAt = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  start(): void {
    this.#updateLinks();
    this.#timer = setInterval(
      () => this.#updateLinks(),
      UPDATE_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const { link } of this.#links.values()) link.stop();
  }

  /** Number of control hosts that have sent a message on the current stream. */
  get connectedCount(): number {
    return [...this.#links.values()].filter(({ link }) => link.isConnected)
      .length;
  }

  /**
   * Replaces the addresses from the settings, after a reload. An empty list is
   * ignored.
   */
  setSeeds(seeds: string[]): void {
    if (seeds.length > 0) this.#seeds = seeds;
  }

  /** Sends an update to all control hosts that are followed. */
  broadcast(update: FollowerUpdate): void {
    for (const { link } of this.#links.values()) link.send(update);
  }

  /**
   * Replaces the control hosts' addresses by those that one of the control
   * hosts has sent. An empty list is ignored.
   */
  setControlHosts(addresses: string[]): void {
    if (addresses.length === 0) return;
    this.#knownAddresses = addresses;
    this.#updateLinks();
  }

  /**
   * The connected control host that is to send the engines' loads, one of this
   * data centre if there is any. One is enough: loads change constantly, and
   * every control host has the same ones.
   */
  get #loadSourceAddress(): string {
    const { host, dataCentre } = this.#options.hello;
    const connected = [...this.#links.values()]
      .map(({ link }) => link)
      .filter(({ isConnected }) => isConnected);
    const local = connected.filter((link) => link.dataCentre === dataCentre);
    const choices = local.length > 0 ? local : connected;
    return rendezvousOwner(host, choices.map(({ address }) => address));
  }

  #candidates(): string[] {
    const { selfAddress } = this.#options;
    // When no control host is connected, the known addresses may be outdated
    // and the settings newer.
    const all = this.connectedCount > 0 && this.#knownAddresses.length > 0
      ? this.#knownAddresses
      : [...this.#knownAddresses, ...this.#seeds];
    return [...new Set(all)].filter((address) => address !== selfAddress);
  }

  #updateLinks(): void {
    for (const { link } of this.#links.values()) link.abortIfSilent();
    const candidates = this.#candidates();
    this.#closeRemoved(candidates);
    this.#closeUnreachable(candidates.length);
    while (
      this.#links.size < this.#options.maxLinks && this.#mayOpenNextStream()
    ) {
      const unused = candidates.filter((address) => !this.#links.has(address));
      if (unused.length === 0) return;
      const now = monotonicMilliseconds();
      const retryable = unused.filter((address) =>
        now >= (this.#retryAt.get(address) ?? 0)
      );
      if (retryable.length > 0) {
        this.#open(rendezvousOwner(this.#options.hello.host, retryable));
        continue;
      }
      this.#open(rendezvousOwner(this.#options.hello.host, unused));
    }
  }

  /**
   * Followers open one stream after the other. Control hosts open theirs all at
   * once, as they need each other to elect a leader.
   */
  #mayOpenNextStream(): boolean {
    if (this.#options.hello.isControl) return true;
    const openings = [...this.#links.values()].map(({ link, openedAt }) => ({
      openedAt,
      hasReceived: link.isConnected,
    }));
    return mayOpenNextStream(openings, monotonicMilliseconds());
  }

  /** A control host that is no longer a member can only send outdated state. */
  #closeRemoved(candidates: string[]): void {
    for (const address of [...this.#links.keys()]) {
      if (!candidates.includes(address)) this.#close(address);
    }
  }

  /** Closes links to unreachable hosts if there are others to follow. */
  #closeUnreachable(candidateCount: number): void {
    if (candidateCount <= this.#links.size) return;
    const now = monotonicMilliseconds();
    for (const [address, { link, openedAt }] of [...this.#links]) {
      const lastActiveAt = Math.max(openedAt, link.lastMessageAt);
      if (now - lastActiveAt <= UNREACHABLE_TIMEOUT_MILLISECONDS) continue;
      this.#retryAt.set(address, now + RETRY_DELAY_MILLISECONDS);
      this.#close(address);
    }
  }

  #open(address: string): void {
    const { hello, clients, log, initialUpdate } = this.#options;
    const link = new FollowLink({
      address,
      hello,
      clients,
      log,
      initialUpdate: initialUpdate ?? (() => undefined),
      wantsLoads: () => !hello.isControl && this.#loadSourceAddress === address,
    });
    this.#links.set(address, { link, openedAt: monotonicMilliseconds() });
    link.updates$.subscribe((update) => {
      if (update.body.case === "controlHosts") {
        this.setControlHosts(update.body.value.addresses);
      }
      this.updates$.next({ address, update });
    });
    link.start();
  }

  #close(address: string): void {
    this.#links.get(address)?.link.stop();
    this.#links.delete(address);
  }
}
