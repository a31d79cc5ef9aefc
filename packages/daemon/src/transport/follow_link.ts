import { create } from "@bufbuild/protobuf";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import {
  FollowerToControlSchema,
  FollowService,
} from "@teaselrouter/messages/follow.ts";
import {
  interval,
  map,
  merge,
  type Observable,
  startWith,
  Subject,
} from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import type { News } from "./news.ts";
import { pause } from "./pause.ts";
import { toAsyncIterable } from "./to_async_iterable.ts";

const HEARTBEAT_MILLISECONDS = 1_000;
/** Three of the other side's heartbeats: the connection may be dead. */
const SILENT_MILLISECONDS = 1_200;
/**
 * Until the first word on a new stream. A control host that has just started
 * takes in streams one after the other; to begin anew meanwhile would put
 * this one behind all others, and the work done for it would be lost.
 */
const OPENING_MILLISECONDS = 2_000;
const RECONNECT_MILLISECONDS = 200;

type Options = {
  address: string;
  hello: { host: string; dataCentre: string; isControl: boolean };
  clients: ClientPool;
  log: EventLog;
  /** Whether this control host is to tell the engines' loads. */
  wantsLoads: () => boolean;
  /** What this host has to tell one that may know nothing; undefined: naught. */
  standingNews: () => News | undefined;
};

/**
 * Follows one control host for as long as it is not stopped: a stream that
 * ends or falls silent is opened anew on a new connection.
 */
export class FollowLink {
  readonly updates$ = new Subject<ControlUpdate>();
  readonly address: string;
  /** Of this host, for the control host. */
  #news$ = new Subject<News>();
  #options: Options;
  #connected = false;
  #dataCentre = "";
  #heardAt = -Infinity;
  #stop = new AbortController();
  /** Of the stream that is open or being opened. */
  #stream = { stop: new AbortController(), openedAt: -Infinity };

  constructor(options: Options) {
    this.#options = options;
    this.address = options.address;
  }

  get isConnected(): boolean {
    return this.#connected;
  }

  /** Where this control host says that it is; empty before it has. */
  get dataCentre(): string {
    return this.#dataCentre;
  }

  /** When this control host was last heard, monotonic milliseconds. */
  get heardAt(): number {
    return this.#heardAt;
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#stop.abort();
    this.#stream.stop.abort();
  }

  /** Tells the control host, if it is there now. */
  tell(news: News): void {
    this.#news$.next(news);
  }

  /** Ends a stream on which nothing comes any more; called at short intervals. */
  dropSilent(): void {
    const { openedAt, stop } = this.#stream;
    const isOpening = this.#heardAt < openedAt;
    const since = isOpening ? openedAt : this.#heardAt;
    const limit = isOpening ? OPENING_MILLISECONDS : SILENT_MILLISECONDS;
    if (monotonicMilliseconds() - since > limit) stop.abort();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#follow();
      await pause(RECONNECT_MILLISECONDS);
    }
  }

  async #follow(): Promise<void> {
    const { address, clients, log } = this.#options;
    const stop = new AbortController();
    this.#stream = { stop, openedAt: monotonicMilliseconds() };
    let reason = "closed";
    try {
      const updates = clients.client(FollowService, address).follow(
        toAsyncIterable(this.#outgoing()),
        { signal: stop.signal },
      );
      for await (const update of updates) this.#take(update);
    } catch (error) {
      reason = error instanceof Error ? error.message : String(error);
    }
    clients.renew(address);
    if (this.#connected) log.warn("control-host-lost", { address, reason });
    this.#connected = false;
  }

  #outgoing(): Observable<MessageToControl> {
    const hello = create(FollowerToControlSchema, {
      body: { case: "hello", value: this.#options.hello },
    });
    const heartbeats$ = interval(HEARTBEAT_MILLISECONDS).pipe(
      map(() =>
        create(FollowerToControlSchema, {
          body: {
            case: "heartbeat",
            value: { wantsLoads: this.#options.wantsLoads() },
          },
        })
      ),
    );
    const standing = this.#options.standingNews();
    const first = standing === undefined ? [] : [encodeNews(standing)];
    return merge(heartbeats$, this.#news$.pipe(map(encodeNews)))
      .pipe(startWith(hello, ...first));
  }

  #take(update: ControlUpdate): void {
    this.#heardAt = monotonicMilliseconds();
    if (!this.#connected) {
      this.#connected = true;
      this.#options.log.info("control-host-followed", {
        address: this.#options.address,
      });
    }
    if (update.body.case === "heartbeat") {
      this.#dataCentre = update.body.value.dataCentre;
    }
    this.updates$.next(update);
  }
}

type MessageToControl = ReturnType<
  typeof create<typeof FollowerToControlSchema>
>;

function encodeNews(body: News): MessageToControl {
  return create(FollowerToControlSchema, { body });
}
