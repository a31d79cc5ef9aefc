import type { Buffer } from "node:buffer";

/** Flags and the length of a message in a stream. */
const HEAD_BYTES = 5;

type Progress = {
  /** Whether a message has come to its end. */
  hasEnded: boolean;
  /** Bytes of the message that has not. */
  heldBytes: number;
};

/** Follows where messages begin and end in the bytes of a stream. */
export class MessageFrames {
  #headBytes = 0;
  #length = 0;
  #held = 0;

  push(part: Buffer): Progress {
    let hasEnded = false;
    for (let at = 0; at < part.length;) {
      if (this.#headBytes < HEAD_BYTES) {
        if (this.#headBytes > 0) this.#length = this.#length * 256 + part[at]!;
        this.#headBytes += 1;
        at += 1;
      } else {
        const taken = Math.min(this.#length - this.#held, part.length - at);
        this.#held += taken;
        at += taken;
      }
      if (this.#headBytes === HEAD_BYTES && this.#held === this.#length) {
        hasEnded = true;
        this.#headBytes = this.#length = this.#held = 0;
      }
    }
    return { hasEnded, heldBytes: this.#held };
  }
}
