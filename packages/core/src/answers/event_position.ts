import type { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];

type Line = "empty" | "comment" | "field";

/**
 * Position in a server-sent event stream, by the line rules of the HTML
 * standard (section 9.2.5): lines end with LF, CR or CRLF, an empty line ends
 * an event, lines that begin with a colon are comments.
 */
export class EventPosition {
  #line: Line = "empty";
  #hasFields = false;
  /** Whether a LF that comes next belongs to a line end that was read. */
  #followsCarriageReturn = false;
  #isLastLineEmpty = false;
  /** Bytes of the byte order mark read; all of them once it can't come. */
  #markBytes = 0;

  /** Whether the stream, if it ended here, would lack the rest of an event. */
  get isInsideEvent(): boolean {
    const isInsideMark = this.#markBytes > 0 &&
      this.#markBytes < BYTE_ORDER_MARK.length;
    return this.#hasFields || this.#line !== "empty" || isInsideMark;
  }

  /** @returns offset behind the last empty line in these bytes; 0 if none. */
  advance(bytes: Buffer): number {
    let end = 0;
    const hasCarriageReturn = bytes.includes(CARRIAGE_RETURN);
    for (let at = this.#skipMark(bytes); at < bytes.length; at += 1) {
      if (this.#line !== "empty" && !hasCarriageReturn) {
        // The rest of a line changes nothing up to its end.
        at = bytes.indexOf(LINE_FEED, at);
        if (at < 0) return end;
      }
      if (this.#endsEmptyLine(bytes[at]!)) end = at + 1;
    }
    return end;
  }

  #endsEmptyLine(byte: number): boolean {
    if (byte === LINE_FEED && this.#followsCarriageReturn) {
      this.#followsCarriageReturn = false;
      return this.#isLastLineEmpty;
    }
    this.#followsCarriageReturn = byte === CARRIAGE_RETURN;
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) return this.#endLine();
    if (this.#line === "empty") this.#beginLine(byte);
    return false;
  }

  #endLine(): boolean {
    this.#isLastLineEmpty = this.#line === "empty";
    if (this.#isLastLineEmpty) this.#hasFields = false;
    this.#line = "empty";
    return this.#isLastLineEmpty;
  }

  #beginLine(byte: number): void {
    this.#line = byte === COLON ? "comment" : "field";
    if (this.#line === "field") this.#hasFields = true;
  }

  /** @returns how many of these bytes belong to a byte order mark. */
  #skipMark(bytes: Buffer): number {
    let at = 0;
    while (this.#markBytes < BYTE_ORDER_MARK.length && at < bytes.length) {
      if (bytes[at] !== BYTE_ORDER_MARK[this.#markBytes]) {
        if (this.#markBytes > 0) this.#beginLine(BYTE_ORDER_MARK[0]!);
        this.#markBytes = BYTE_ORDER_MARK.length;
        return at;
      }
      this.#markBytes += 1;
      at += 1;
    }
    return at;
  }
}
