import { Buffer } from "node:buffer";
import { write } from "node:fs";

/**
 * A few seconds of lines at the usual rate; more would only take memory. In
 * UTF-16 code units, as `String.length` counts.
 */
const MAX_PENDING_CHARACTERS = 262_144;
/** Above this only warnings and errors are buffered: they report failures. */
const MAX_PENDING_CHARACTERS_FOR_USUAL = MAX_PENDING_CHARACTERS / 2;
/** Delay before writing again to a reader that takes nothing at the moment. */
const RETRY_DELAY_MILLISECONDS = 50;

const FLUSH_POLL_INTERVAL_MILLISECONDS = 5;

type Importance = "usual" | "failure";

/**
 * Writes lines to a file descriptor without blocking on its reader: otherwise a
 * full pipe that nobody reads would block the whole process. Lines that do not
 * fit into the buffer are dropped, usual ones first; a line of its own reports
 * how many.
 */
export class LineWriter {
  #descriptor: number;
  #pendingLines: string[] = [];
  #pendingCharacters = 0;
  #droppedLines = { usual: 0, failure: 0 };
  #isWriting = false;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /** Length of the lines that the reader has not taken yet, UTF-16 code units. */
  get pendingCharacters(): number {
    return this.#pendingCharacters;
  }

  /** Waits until all lines are written, at most `maxMilliseconds`. */
  async flush(maxMilliseconds: number): Promise<void> {
    const deadline = performance.now() + maxMilliseconds;
    while (this.#isWriting && performance.now() < deadline) {
      await new Promise((resolve) =>
        setTimeout(resolve, FLUSH_POLL_INTERVAL_MILLISECONDS)
      );
    }
  }

  write(line: string, importance: Importance): void {
    const maxCharacters = importance === "failure"
      ? MAX_PENDING_CHARACTERS
      : MAX_PENDING_CHARACTERS_FOR_USUAL;
    if (this.#pendingCharacters + line.length > maxCharacters) {
      this.#droppedLines[importance] += 1;
      return;
    }
    this.#pendingLines.push(line);
    this.#pendingCharacters += line.length;
    this.#scheduleWrite();
  }

  #scheduleWrite(): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    setImmediate(() => this.#writePending());
  }

  #writePending(): void {
    const bytes = Buffer.from(
      this.#pendingLines.join("") + this.#takeDroppedNotice(),
    );
    this.#pendingLines = [];
    this.#writeFrom(bytes, 0);
  }

  #writeFrom(bytes: Buffer, offset: number): void {
    write(this.#descriptor, bytes, offset, (error, written) => {
      if (error !== null && error.code !== "EAGAIN") {
        // The reader is gone, and there is nowhere to log that.
        this.#finish();
        return;
      }
      const at = offset + (error === null ? written : 0);
      if (at >= bytes.length) return this.#finish();
      const resume = () => this.#writeFrom(bytes, at);
      if (error === null) resume();
      else setTimeout(resume, RETRY_DELAY_MILLISECONDS).unref();
    });
  }

  #finish(): void {
    this.#pendingCharacters = this.#pendingLines.reduce(
      (sum, line) => sum + line.length,
      0,
    );
    this.#isWriting = false;
    if (this.#pendingLines.length > 0) this.#scheduleWrite();
  }

  #takeDroppedNotice(): string {
    const { usual, failure } = this.#droppedLines;
    if (usual + failure === 0) return "";
    this.#droppedLines = { usual: 0, failure: 0 };
    return `event=lines-dropped usual=${usual} failure=${failure}\n`;
  }
}
