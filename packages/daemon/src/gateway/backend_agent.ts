import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";

/**
 * Fraction of a connection's idle timeout after which this gateway closes it. A
 * request sent just as the backend server closes the connection is lost, and
 * may not be repeated. The idle timeout is the smaller of MAX_IDLE_MILLISECONDS
 * and the time in the backend server's Keep-Alive header less 1 s, so a
 * connection stays idle for at most 2.4 s.
 */
const IDLE_TIMEOUT_FRACTION = 0.6;
/**
 * Longest idle timeout, before IDLE_TIMEOUT_FRACTION is applied. A network
 * device may drop a connection's state while it is idle; the next request on it
 * is then lost. A short limit makes that rare.
 */
const MAX_IDLE_MILLISECONDS = 4_000;

/** Keep-alive connections to one backend server. */
export class BackendAgent extends Agent {
  #maxInUse: number;
  #inUse = 0;
  /** Opens requests that wait for a connection, in order. */
  #waiting = new Set<(isLater: boolean) => void>();

  constructor(maxSockets: number) {
    super({
      keepAlive: true,
      maxSockets,
      scheduling: "lifo",
      timeout: MAX_IDLE_MILLISECONDS,
    });
    this.#maxInUse = maxSockets;
  }

  /**
   * Calls `open` once a request may have a connection, also at once; `release`
   * is to be called when the request that it opened is closed. A request that
   * waited in Node.js's own queue would leave with the head that it was given
   * before. The returned function ends the wait. What `open` throws at once is
   * thrown here; later it must not throw.
   */
  acquire(open: (isLater: boolean) => void): () => void {
    if (this.#inUse < this.#maxInUse) {
      this.#inUse += 1;
      open(false);
      return () => {};
    }
    this.#waiting.add(open);
    return () => void this.#waiting.delete(open);
  }

  /** Gives back what `acquire` granted. */
  release(): void {
    this.#inUse -= 1;
    // The connection itself becomes free only behind the request's close.
    process.nextTick(() => this.#openNext());
  }

  #openNext(): void {
    const [open] = this.#waiting;
    if (open === undefined || this.#inUse >= this.#maxInUse) return;
    this.#waiting.delete(open);
    this.#inUse += 1;
    open(true);
  }

  get isUnused(): boolean {
    return Object.keys(this.sockets).length === 0 && this.#waiting.size === 0;
  }

  get hasOpen(): boolean {
    return [this.sockets, this.freeSockets]
      .flatMap((byName) => Object.values(byName))
      .flatMap((sockets) => sockets ?? [])
      .some((socket) => !socket.destroyed && !socket.connecting);
  }

  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  override keepSocketAlive(socket: Socket): boolean {
    // Sets the socket's timeout to the announced one less 1 s, if that is
    // shorter. For an announced timeout of 1 s or less it sets the full
    // MAX_IDLE_MILLISECONDS and returns false, against reuse; that result is
    // ignored here.
    super.keepSocketAlive(socket);
    const announced = socket.timeout ?? MAX_IDLE_MILLISECONDS;
    socket.setTimeout(announced * IDLE_TIMEOUT_FRACTION);
    // Bytes that arrive while no request is in flight belong to none: a second
    // answer, or one that is too long. Left unread, they would be taken for the
    // answer to the next request.
    const destroyOnData = () => socket.destroy();
    socket.once("data", destroyOnData);
    idleDataListeners.set(socket, destroyOnData);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const listener = idleDataListeners.get(socket);
    if (listener !== undefined) socket.off("data", listener);
    idleDataListeners.delete(socket);
    super.reuseSocket(socket, request);
  }
}

const idleDataListeners = new WeakMap<Socket, () => void>();
