import { Buffer } from "node:buffer";
import { EventPosition } from "../answers/event_position.ts";

const EMPTY_BUFFER = Buffer.alloc(0);
const LINE_END = /[\r\n]/;

type CompleteEvents = {
  /** The complete events, byte for byte as received. */
  bytes: Buffer;
  /** Id of the last complete event that has one; undefined without any. */
  lastId: string | undefined;
};

/**
 * Splits a server-sent event stream after complete events. A backend server can
 * stop in the middle of an event. The partial event must not reach the caller,
 * because another backend server may resume the stream after the last complete
 * one.
 */
export class EventSplitter {
  #position = new EventPosition();
  #rest: Buffer[] = [];
  #restLength = 0;

  /** Number of bytes received after the last complete event. */
  get incompleteLength(): number {
    return this.#restLength;
  }

  /** Bytes received after the last complete event. */
  get incompleteBytes(): Buffer {
    return Buffer.concat(this.#rest);
  }

  /**
   * Adds received bytes, and returns the events that they complete; the bytes
   * after these are kept for the next call.
   */
  push(bytes: Buffer): CompleteEvents {
    const end = this.#position.advance(bytes);
    if (end === 0) {
      this.#rest.push(bytes);
      this.#restLength += bytes.length;
      return { bytes: EMPTY_BUFFER, lastId: undefined };
    }
    const last = bytes.subarray(0, end);
    const complete = this.#rest.length === 0
      ? last
      : Buffer.concat([...this.#rest, last]);
    this.#rest = end < bytes.length ? [bytes.subarray(end)] : [];
    this.#restLength = bytes.length - end;
    return { bytes: complete, lastId: findLastId(complete) };
  }
}

/** Value of the last `id` field, without the one optional leading space. */
function findLastId(bytes: Buffer): string | undefined {
  const text = `\n${bytes.toString("latin1")}`;
  const at = Math.max(text.lastIndexOf("\nid:"), text.lastIndexOf("\rid:"));
  if (at < 0) return undefined;
  const [value] = text.slice(at + "\nid:".length).split(LINE_END, 1);
  return value!.startsWith(" ") ? value!.slice(1) : value;
}
