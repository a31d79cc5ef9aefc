import { TurnShare } from "@teaselrouter/core/callers/turn_share.ts";
import type { Socket } from "node:net";

/** Carries out what `TurnShare` decides: halts and resumes connections. */
export class ReadTurns {
  #share = new TurnShare<Socket>();
  /** Connections on which a body is being read. */
  #readers = new Set<Socket>();
  #waiting = new Set<Socket>();
  #stopped = new Set<Socket>();
  #blocked = new Set<Socket>();

  begin(reader: Socket): void {
    this.#readers.add(reader);
    if (this.#share.isSpent) this.#halt(reader);
  }

  countPart(reader: Socket): void {
    this.#share.countPart(reader);
    if (!this.#share.isSpent || this.#waiting.has(reader)) return;
    for (const each of this.#readers) this.#halt(each);
  }

  /** Reads no more, until `end`. */
  stop(reader: Socket): void {
    if (this.#stopped.has(reader)) return;
    this.#halt(reader);
    this.#stopped.add(reader);
  }

  end(reader: Socket): void {
    this.#readers.delete(reader);
    this.#share.forget(reader);
    const isHalted = this.#waiting.delete(reader);
    const isStopped = this.#stopped.delete(reader);
    if (isHalted || isStopped) this.#resume(reader);
  }

  /** Reads no more, whatever ends there, until `unblock`. */
  block(reader: Socket): void {
    if (this.#blocked.has(reader)) return;
    this.#blocked.add(reader);
    reader.once("close", () => this.#blocked.delete(reader));
    this.#halt(reader);
  }

  unblock(reader: Socket): void {
    if (this.#blocked.delete(reader)) this.#resume(reader);
  }

  #resume(reader: Socket): void {
    const isHalted = this.#blocked.has(reader) || this.#stopped.has(reader) ||
      this.#waiting.has(reader);
    if (!isHalted) reader.resume();
  }

  #halt(reader: Socket): void {
    if (this.#waiting.size === 0) setImmediate(() => this.#beginTurn());
    this.#waiting.add(reader);
    reader.pause();
  }

  #beginTurn(): void {
    // The request on a connection that has just been read resumes it by itself.
    for (const reader of this.#waiting) reader.pause();
    for (const reader of this.#stopped) this.#waiting.delete(reader);
    for (const reader of this.#share.beginTurn(this.#waiting)) {
      this.#waiting.delete(reader);
      this.#resume(reader);
    }
    if (this.#waiting.size > 0) setImmediate(() => this.#beginTurn());
  }
}
