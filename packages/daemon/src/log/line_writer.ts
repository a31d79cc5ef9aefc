import { Buffer } from "node:buffer";
import { write } from "node:fs";

/** Lines of a few seconds at the usual rate; more would only be memory. */
const MOST_WAITING_BYTES = 262_144;
/** Above it only warnings and errors are kept: they tell of failures. */
const USUAL_WAITING_BYTES = MOST_WAITING_BYTES / 2;
/** A reader that takes nothing now is asked again after so long. */
const RETRY_MILLISECONDS = 50;

const FLUSH_POLL_MILLISECONDS = 5;

type Importance = "usual" | "failure";

/**
 * Writes lines to a descriptor without ever waiting for its reader: a pipe
 * that nobody empties would otherwise stop the whole process at a line. What
 * does not fit is dropped, the usual lines first, and counted in a line.
 */
export class LineWriter {
  #descriptor: number;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #dropped = { usual: 0, failure: 0 };
  #isWriting = false;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /** Bytes that were not taken by the reader yet. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** Waits until all is taken, or for as long as is given, milliseconds. */
  async flush(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (this.#isWriting && performance.now() < until) {
      await new Promise((resolve) =>
        setTimeout(resolve, FLUSH_POLL_MILLISECONDS)
      );
    }
  }

  write(line: string, importance: Importance): void {
    const most = importance === "failure"
      ? MOST_WAITING_BYTES
      : USUAL_WAITING_BYTES;
    if (this.#waitingBytes + line.length > most) {
      this.#dropped[importance] += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    this.#writeSoon();
  }

  #writeSoon(): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    setImmediate(() => this.#writeWaiting());
  }

  #writeWaiting(): void {
    const bytes = Buffer.from(this.#waiting.join("") + this.#takeDropped());
    this.#waiting = [];
    this.#writeFrom(bytes, 0);
  }

  #writeFrom(bytes: Buffer, from: number): void {
    write(this.#descriptor, bytes, from, (error, written) => {
      if (error !== null && error.code !== "EAGAIN") {
        // Nobody reads any more; there is nowhere to say so.
        this.#finish();
        return;
      }
      const at = from + (error === null ? written : 0);
      if (at >= bytes.length) return this.#finish();
      const again = () => this.#writeFrom(bytes, at);
      if (error === null) again();
      else setTimeout(again, RETRY_MILLISECONDS).unref();
    });
  }

  #finish(): void {
    this.#waitingBytes = this.#waiting.reduce(
      (sum, line) => sum + line.length,
      0,
    );
    this.#isWriting = false;
    if (this.#waiting.length > 0) this.#writeSoon();
  }

  #takeDropped(): string {
    const { usual, failure } = this.#dropped;
    if (usual + failure === 0) return "";
    this.#dropped = { usual: 0, failure: 0 };
    return `event=lines-dropped usual=${usual} failure=${failure}\n`;
  }
}
