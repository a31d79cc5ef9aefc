import { Buffer } from "node:buffer";

const NEWLINE = 0x0a;
const EMPTY_BUFFER = Buffer.alloc(0);
const ID_FIELD = "\nid:";

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
 *
 * Recognizes only LF line ends: `\r\n\r\n` does not end an event, so all bytes
 * of a stream with CRLF line ends are held back as incomplete.
 */
export class EventSplitter {
  #rest: Buffer = EMPTY_BUFFER;

  /** Bytes received after the last complete event. */
  get incompleteBytes(): Buffer {
    return this.#rest;
  }

  /**
   * Adds received bytes, and returns the events that they complete; the bytes
   * after these are kept for the next call.
   */
  push(bytes: Buffer): CompleteEvents {
    const all = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    const end = findEndOfCompleteEvents(all);
    this.#rest = all.subarray(end);
    const complete = all.subarray(0, end);
    return { bytes: complete, lastId: findLastId(complete) };
  }
}

/** Offset after the last empty line (LF LF), which ends an event; 0 if none. */
function findEndOfCompleteEvents(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] === NEWLINE && bytes[at - 1] === NEWLINE) return at + 1;
  }
  return 0;
}

/**
 * Value of the last `id` field, without the one optional leading space and the
 * CR of a CRLF.
 */
function findLastId(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const text = `\n${bytes.toString("latin1")}`;
  const at = text.lastIndexOf(ID_FIELD);
  if (at < 0) return undefined;
  const end = text.indexOf("\n", at + ID_FIELD.length);
  const line = text.slice(at + ID_FIELD.length, end < 0 ? undefined : end);
  const value = line.endsWith("\r") ? line.slice(0, -1) : line;
  return value.startsWith(" ") ? value.slice(1) : value;
}
