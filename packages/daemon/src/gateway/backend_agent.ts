import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Part of a backend server's announced idle timeout that is made use of: a
 * request sent as the timeout strikes is lost, and may not be repeated.
 */
const IDLE_SHARE = 0.6;
/**
 * Longest idle time of a connection that is used again. One that something
 * between the ends has forgotten shows only when a request on it is lost, so
 * few such connections are kept.
 */
const LONGEST_IDLE_MILLISECONDS = 4_000;

/** Kept connections to one backend server. */
export class BackendAgent extends Agent {
  constructor(maxSockets: number) {
    super({
      keepAlive: true,
      maxSockets,
      scheduling: "lifo",
      timeout: LONGEST_IDLE_MILLISECONDS,
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
    // Sets the timeout that the backend server announced, if it is shorter.
    super.keepSocketAlive(socket);
    const announced = socket.timeout ?? LONGEST_IDLE_MILLISECONDS;
    socket.setTimeout(announced * IDLE_SHARE);
    // Bytes that come while nothing is asked belong to no request: a second
    // answer, or one too long. Left there, they would be taken for the answer
    // to the next request.
    const endSpoiled = () => socket.destroy();
    socket.once("data", endSpoiled);
    spoilGuards.set(socket, endSpoiled);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guard = spoilGuards.get(socket);
    if (guard !== undefined) socket.off("data", guard);
    spoilGuards.delete(socket);
    super.reuseSocket(socket, request);
  }
}

const spoilGuards = new WeakMap<Socket, () => void>();
