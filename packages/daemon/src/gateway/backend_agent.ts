import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Fraction of a backend server's announced idle timeout for which a connection
 * is kept. A request sent just as the backend server closes the connection is
 * lost, and may not be repeated.
 */
const IDLE_TIMEOUT_FRACTION = 0.6;
/**
 * Longest idle time of a connection that is reused. That a middlebox has
 * dropped a connection's state shows only when a request on it is lost, so few
 * such connections are kept.
 */
const MAX_IDLE_MILLISECONDS = 4_000;

/** Keep-alive connections to one backend server. */
export class BackendAgent extends Agent {
  constructor(maxSockets: number) {
    super({
      keepAlive: true,
      maxSockets,
      scheduling: "lifo",
      timeout: MAX_IDLE_MILLISECONDS,
    });
  }

  get isUnused(): boolean {
    return Object.keys(this.sockets).length === 0;
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
    // Sets the socket's timeout to the one that the backend server announced,
    // if that is shorter.
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
