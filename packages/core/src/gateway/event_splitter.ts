import { Buffer } from "node:buffer";

const NEWLINE = 0x0a;
const NOTHING = Buffer.alloc(0);
const ID_FIELD = "\nid:";

type Whole = {
  /** Events that are complete, as they came. */
  bytes: Buffer;
  /** Id of the last of them that has one. */
  lastId: string | undefined;
};

/**
 * Cuts an event stream behind whole events. A backend server can stop in the
 * middle of one; the part must not reach the caller when another backend
 * server goes on behind the last whole one.
 */
export class EventSplitter {
  #rest: Buffer = NOTHING;

  /** Bytes of an event that is not complete yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  take(bytes: Buffer): Whole {
    const all = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    const end = endOfWholeEvents(all);
    this.#rest = all.subarray(end);
    const whole = all.subarray(0, end);
    return { bytes: whole, lastId: lastIdIn(whole) };
  }
}

function endOfWholeEvents(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] === NEWLINE && bytes[at - 1] === NEWLINE) return at + 1;
  }
  return 0;
}

function lastIdIn(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const text = `\n${bytes.toString("latin1")}`;
  const at = text.lastIndexOf(ID_FIELD);
  if (at < 0) return undefined;
  const end = text.indexOf("\n", at + ID_FIELD.length);
  const value = text.slice(at + ID_FIELD.length, end < 0 ? undefined : end);
  return value.startsWith(" ") ? value.slice(1) : value;
}
