import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { AnswerFrame } from "@teaselrouter/messages/agent.ts";
import { AnswerFrameSchema } from "@teaselrouter/messages/agent.ts";
import { Buffer } from "node:buffer";

const HEARTBEAT_INTERVAL_MILLISECONDS = 400;

type Body = MessageInitShape<typeof AnswerFrameSchema>["body"];
type Start = { status: number; contentType: string; version: string };
type Refusal = {
  outcome: number;
  reason: string;
  retryAfterMilliseconds: number;
  endedIncarnation: string;
};

/** One call's answer, kept so that a reader can resume at any byte offset. */
export class Exchange {
  readonly requestId: string;
  readonly isRepeatable: boolean;
  readonly canceller = new AbortController();
  /** When the answer ended, Unix milliseconds; 0 while it goes on. */
  endedAt = 0;
  /**
   * Since when there is no reader, Unix milliseconds; 0 while there is one.
   */
  unreadSince = Date.now();
  #parts: Buffer[] = [];
  #bytes = 0;
  #start: Start | undefined;
  #refusal: Refusal | undefined;
  #waiters = new Set<() => void>();
  #readers = 0;

  constructor(requestId: string, repeatable: boolean) {
    this.requestId = requestId;
    this.isRepeatable = repeatable;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get hasStarted(): boolean {
    return this.#start !== undefined;
  }

  begin(start: Start): void {
    this.#start = start;
    this.#wakeReaders();
  }

  append(bytes: Buffer): void {
    if (this.endedAt > 0) return;
    this.#parts.push(bytes);
    this.#bytes += bytes.length;
    this.#wakeReaders();
  }

  end(): void {
    if (this.endedAt > 0) return;
    this.endedAt = Date.now();
    this.#wakeReaders();
  }

  /** Ends without a whole answer, and discards what has been kept of one. */
  refuse(refusal: Refusal): void {
    if (this.endedAt > 0) return;
    this.endedAt = Date.now();
    this.#refusal = refusal;
    this.#parts = [];
    this.#wakeReaders();
  }

  /**
   * Yields the answer's frames from byte `offset` on, with heartbeats while the
   * engine sends nothing.
   */
  async *read(offset: number): AsyncGenerator<AnswerFrame> {
    this.#readers += 1;
    this.unreadSince = 0;
    try {
      yield* this.#readFrames(offset);
    } finally {
      this.#readers -= 1;
      if (this.#readers === 0) this.unreadSince = Date.now();
    }
  }

  async *#readFrames(offset: number): AsyncGenerator<AnswerFrame> {
    let position = offset;
    let isStartSent = false;
    while (true) {
      if (this.#refusal !== undefined) {
        yield createFrame({ case: "refused", value: this.#refusal });
        return;
      }
      if (this.#start !== undefined && !isStartSent) {
        isStartSent = true;
        yield createFrame({ case: "start", value: this.#start });
        continue;
      }
      if (position < this.#bytes) {
        const data = this.#bytesFrom(position);
        position += data.length;
        yield createFrame({ case: "data", value: data });
        continue;
      }
      if (this.endedAt > 0) {
        yield createFrame({ case: "end", value: { totalBytes: this.#bytes } });
        return;
      }
      const hasChanged = await this.#waitForChange();
      if (!hasChanged) yield createFrame({ case: "heartbeat", value: true });
    }
  }

  #bytesFrom(position: number): Buffer {
    let partOffset = 0;
    const parts: Buffer[] = [];
    for (const part of this.#parts) {
      const start = Math.max(0, position - partOffset);
      if (start < part.length) parts.push(part.subarray(start));
      partOffset += part.length;
    }
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  /** Resolves to false after the heartbeat interval without a change. */
  #waitForChange(): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (hasChanged: boolean) => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve(hasChanged);
      };
      const wake = () => finish(true);
      const timer = setTimeout(
        () => finish(false),
        HEARTBEAT_INTERVAL_MILLISECONDS,
      );
      this.#waiters.add(wake);
    });
  }

  #wakeReaders(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

function createFrame(body: Body): AnswerFrame {
  return create(AnswerFrameSchema, { body });
}
