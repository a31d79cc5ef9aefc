import { create } from "@bufbuild/protobuf";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import {
  FollowerToControlSchema,
  FollowService,
} from "@teaselrouter/messages/follow.ts";
import {
  fromEvent,
  interval,
  map,
  merge,
  type Observable,
  startWith,
  Subject,
  takeUntil,
} from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import type { FollowerUpdate } from "./follower_update.ts";
import { sleep } from "./sleep.ts";
import { toAsyncIterable } from "./to_async_iterable.ts";

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
/** Three heartbeat intervals of control hosts; the connection may be dead. */
const SILENCE_TIMEOUT_MILLISECONDS = 1_200;
/**
 * Wait for the first message on a new stream. A control host that has just
 * started sets up streams one after the other. Reopening a stream meanwhile
 * would waste the work done for it and queue it behind all others.
 */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 2_000;
const RECONNECT_DELAY_MILLISECONDS = 200;

type Options = {
  address: string;
  hello: { host: string; dataCentre: string; isControl: boolean };
  clients: ClientPool;
  log: EventLog;
  /** Whether this control host is the one to send the engines' loads. */
  wantsLoads: () => boolean;
  /**
   * Update for a control host that may know nothing yet, sent on each new
   * stream; undefined for none.
   */
  initialUpdate: () => FollowerUpdate | undefined;
};

/**
 * Follows one control host until `stop` is called. A stream that ends or falls
 * silent is replaced by a new one on a new connection.
 */
export class FollowLink {
  /** Received from the control host. */
  readonly updates$ = new Subject<ControlUpdate>();
  readonly address: string;
  /** Updates from this host to the control host. */
  #ownUpdates$ = new Subject<FollowerUpdate>();
  #options: Options;
  #connected = false;
  #dataCentre = "";
  #lastMessageAt = -Infinity;
  #stop = new AbortController();
  /**
   * The stream that is open or being opened; `openedAt` in monotonic
   * milliseconds.
   */
  #stream = { stop: new AbortController(), openedAt: -Infinity };

  constructor(options: Options) {
    this.#options = options;
    this.address = options.address;
  }

  /** Whether a message has arrived on the current stream. */
  get isConnected(): boolean {
    return this.#connected;
  }

  /**
   * The data centre in the control host's heartbeats; empty before the first
   * one.
   */
  get dataCentre(): string {
    return this.#dataCentre;
  }

  /**
   * When the last message from the control host arrived, monotonic
   * milliseconds; -Infinity before the first one.
   */
  get lastMessageAt(): number {
    return this.#lastMessageAt;
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#stop.abort();
    this.#stream.stop.abort();
  }

  /** Sends an update; it is dropped while no stream is open or being opened. */
  send(update: FollowerUpdate): void {
    this.#ownUpdates$.next(update);
  }

  /** Aborts a stream that has gone silent; to be called at short intervals. */
  abortIfSilent(): void {
    const { openedAt, stop } = this.#stream;
    const isOpening = this.#lastMessageAt < openedAt;
    const since = isOpening ? openedAt : this.#lastMessageAt;
    const limit = isOpening
      ? FIRST_MESSAGE_TIMEOUT_MILLISECONDS
      : SILENCE_TIMEOUT_MILLISECONDS;
    if (monotonicMilliseconds() - since > limit) stop.abort();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#follow();
      await sleep(RECONNECT_DELAY_MILLISECONDS);
    }
  }

  async #follow(): Promise<void> {
    const { address, clients, log } = this.#options;
    const stop = new AbortController();
    this.#stream = { stop, openedAt: monotonicMilliseconds() };
    let reason = "closed";
    try {
      const updates = clients.client(FollowService, address).follow(
        // A stream that never opens doesn't read, nor leave what it would read.
        toAsyncIterable(
          this.#outgoing().pipe(takeUntil(fromEvent(stop.signal, "abort"))),
        ),
        { signal: stop.signal },
      );
      for await (const update of updates) this.#handleUpdate(update);
    } catch (error) {
      reason = error instanceof Error ? error.message : String(error);
    }
    stop.abort();
    clients.dropConnection(address);
    if (this.#connected) log.warn("control-host-lost", { address, reason });
    this.#connected = false;
  }

  #outgoing(): Observable<MessageToControl> {
    const hello = create(FollowerToControlSchema, {
      body: {
        case: "hello",
        value: this.#options.hello,
      },
    });
    const heartbeats$ = interval(HEARTBEAT_INTERVAL_MILLISECONDS).pipe(
      map(() =>
        create(FollowerToControlSchema, {
          body: {
            case: "heartbeat",
            value: { wantsLoads: this.#options.wantsLoads() },
          },
        })
      ),
    );
    const initial = this.#options.initialUpdate();
    const initialMessages = initial === undefined
      ? []
      : [createUpdateMessage(initial)];
    return merge(heartbeats$, this.#ownUpdates$.pipe(map(createUpdateMessage)))
      .pipe(startWith(hello, ...initialMessages));
  }

  #handleUpdate(update: ControlUpdate): void {
    this.#lastMessageAt = monotonicMilliseconds();
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

function createUpdateMessage(body: FollowerUpdate): MessageToControl {
  return create(FollowerToControlSchema, { body });
}
