import { mayOpenNext } from "@teaselrouter/core/membership/may_open_next.ts";
import { rendezvousOwner } from "@teaselrouter/core/spread/rendezvous_owner.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { FollowLink } from "./follow_link.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import type { News } from "./news.ts";

/** Several times in what counts as silence of a control host. */
const REVIEW_MILLISECONDS = 200;
/** A host that can't be reached for so long is left for another, if any. */
const UNREACHED_MILLISECONDS = 2_500;

/** Others are tried for so long before one that could not be reached. */
const REST_MILLISECONDS = 5_000;

type Options = {
  hello: { host: string; dataCentre: string; isControl: boolean };
  /** Own address, never followed; empty for none. */
  selfAddress: string;
  /** Control hosts known from the settings. */
  seeds: string[];
  /** How many are followed at once. */
  most: number;
  clients: ClientPool;
  log: EventLog;
  /** What this host tells a control host that it turns to. */
  standingNews?: () => News | undefined;
};

/**
 * Follows some control hosts at once, so that what any of them knows arrives
 * by the quickest way, and the loss of one is not even noticed. Which ones is
 * drawn by rendezvous, so that followers are spread over the hosts.
 */
export class FollowSet {
  readonly updates$ = new Subject<
    { address: string; update: ControlUpdate }
  >();
  #options: Options;
  #seeds: string[];
  #known: string[] = [];
  #links = new Map<string, { link: FollowLink; openedAt: number }>();
  #restUntil = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  start(): void {
    this.#review();
    this.#timer = setInterval(() => this.#review(), REVIEW_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const { link } of this.#links.values()) link.stop();
  }

  /** How many control hosts are heard now. */
  get connected(): number {
    return [...this.#links.values()].filter(({ link }) => link.isConnected)
      .length;
  }

  /** The settings name these now. */
  setSeeds(seeds: string[]): void {
    if (seeds.length > 0) this.#seeds = seeds;
  }

  /** Tells all control hosts that are followed. */
  tell(news: News): void {
    for (const { link } of this.#links.values()) link.tell(news);
  }

  /** The control hosts that one of them knows. */
  learn(addresses: string[]): void {
    if (addresses.length === 0) return;
    this.#known = addresses;
    this.#review();
  }

  /**
   * The one control host to hear the engines' loads from, a near one if there
   * is any: loads change all the time, and every host knows the same.
   */
  get #loadsAddress(): string {
    const { host, dataCentre } = this.#options.hello;
    const connected = [...this.#links.values()]
      .map(({ link }) => link)
      .filter(({ isConnected }) => isConnected);
    const near = connected.filter((link) => link.dataCentre === dataCentre);
    const choices = near.length > 0 ? near : connected;
    return rendezvousOwner(host, choices.map(({ address }) => address));
  }

  #candidates(): string[] {
    const { selfAddress } = this.#options;
    // With none of the known ones reached, the settings may know better.
    const all = this.connected > 0 && this.#known.length > 0
      ? this.#known
      : [...this.#known, ...this.#seeds];
    return [...new Set(all)].filter((address) => address !== selfAddress);
  }

  #review(): void {
    for (const { link } of this.#links.values()) link.dropSilent();
    const candidates = this.#candidates();
    this.#dropUnknown(candidates);
    this.#dropUnreached(candidates.length);
    while (this.#links.size < this.#options.most && this.#mayOpenNext()) {
      const free = candidates.filter((address) => !this.#links.has(address));
      if (free.length === 0) return;
      const now = monotonicMilliseconds();
      const rested = free.filter((address) =>
        now >= (this.#restUntil.get(address) ?? 0)
      );
      if (rested.length > 0) {
        this.#open(rendezvousOwner(this.#options.hello.host, rested));
        continue;
      }
      this.#open(rendezvousOwner(this.#options.hello.host, free));
    }
  }

  /** Control hosts need each other at once, to elect a leader. */
  #mayOpenNext(): boolean {
    if (this.#options.hello.isControl) return true;
    const openings = [...this.#links.values()].map(({ link, openedAt }) => ({
      openedAt,
      isHeard: link.isConnected,
    }));
    return mayOpenNext(openings, monotonicMilliseconds());
  }

  /** One that is no member any more can only tell what is old. */
  #dropUnknown(candidates: string[]): void {
    for (const address of [...this.#links.keys()]) {
      if (!candidates.includes(address)) this.#close(address);
    }
  }

  #dropUnreached(candidates: number): void {
    if (candidates <= this.#links.size) return;
    const now = monotonicMilliseconds();
    for (const [address, { link, openedAt }] of [...this.#links]) {
      const since = Math.max(openedAt, link.heardAt);
      if (now - since <= UNREACHED_MILLISECONDS) continue;
      this.#restUntil.set(address, now + REST_MILLISECONDS);
      this.#close(address);
    }
  }

  #open(address: string): void {
    const { hello, clients, log, standingNews } = this.#options;
    const link = new FollowLink({
      address,
      hello,
      clients,
      log,
      standingNews: standingNews ?? (() => undefined),
      wantsLoads: () => !hello.isControl && this.#loadsAddress === address,
    });
    this.#links.set(address, { link, openedAt: monotonicMilliseconds() });
    link.updates$.subscribe((update) => {
      if (update.body.case === "controlHosts") {
        this.learn(update.body.value.addresses);
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
