import type { Socket } from "node:net";

/** Requests that wait for answers before them, by connection, in their order. */
export class RequestQueues {
  #starts = new Map<Socket, (() => void)[]>();

  add(socket: Socket, start: () => void): void {
    const queue = this.#starts.get(socket);
    if (queue !== undefined) return void queue.push(start);
    this.#starts.set(socket, [start]);
    socket.once("close", () => this.#starts.delete(socket));
  }

  startNext(socket: Socket): void {
    if (socket.destroyed) return;
    this.#starts.get(socket)?.shift()?.();
  }

  startAll(): void {
    for (const [socket, queue] of this.#starts) {
      if (socket.destroyed) continue;
      for (const start of queue.splice(0)) start();
    }
  }
}
