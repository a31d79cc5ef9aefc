import type { Transport } from "@connectrpc/connect";
import { Subject } from "rxjs";
import type { GuardedSessionManager } from "./guarded_session_manager.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

type Options = { manager: GuardedSessionManager; transport: Transport };

/** One connection of a pool, and what its users know of it. */
export class PooledConnection {
  readonly manager: GuardedSessionManager;
  readonly transport: Transport;
  /** Emits when the connection is taken from the pool. */
  readonly dropped$ = new Subject<void>();
  #heardAt = monotonicMilliseconds();
  #hasWorked = false;
  #isDropped = false;

  constructor({ manager, transport }: Options) {
    this.manager = manager;
    this.transport = transport;
  }

  /**
   * When a frame arrived last, as its users tell; when the connection was made,
   * if none has. Monotonic milliseconds.
   */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Whether any frame has arrived. */
  get hasWorked(): boolean {
    return this.#hasWorked;
  }

  get isDropped(): boolean {
    return this.#isDropped;
  }

  recordFrame(): void {
    this.#heardAt = monotonicMilliseconds();
    this.#hasWorked = true;
  }

  drop(): void {
    this.#isDropped = true;
    this.dropped$.next();
  }
}
