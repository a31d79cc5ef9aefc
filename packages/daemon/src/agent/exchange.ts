import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { AnswerFrame } from "@teaselrouter/messages/agent.ts";
import { AnswerFrameSchema } from "@teaselrouter/messages/agent.ts";
import { Buffer } from "node:buffer";

const HEARTBEAT_MILLISECONDS = 400;

type Body = MessageInitShape<typeof AnswerFrameSchema>["body"];
type Start = { status: number; contentType: string; version: string };
type Refusal = {
  outcome: number;
  reason: string;
  retryAfterMilliseconds: number;
  endedIncarnation: string;
};

/** One call's answer, kept with offsets so that a reader can come back. */
export class Exchange {
  readonly requestId: string;
  readonly repeatable: boolean;
  readonly cancelled = new AbortController();
  /** When it ended, milliseconds; 0 while it goes on. */
  endedAt = 0;
  /** When its last reader left, milliseconds; 0 while it has one. */
  unreadSince = Date.now();
  #parts: Buffer[] = [];
  #bytes = 0;
  #start: Start | undefined;
  #refusal: Refusal | undefined;
  #wake = new Set<() => void>();
  #readers = 0;

  constructor(requestId: string, repeatable: boolean) {
    this.requestId = requestId;
    this.repeatable = repeatable;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get hasStarted(): boolean {
    return this.#start !== undefined;
  }

  begin(start: Start): void {
    this.#start = start;
    this.#notify();
  }

  append(bytes: Buffer): void {
    if (this.endedAt > 0) return;
    this.#parts.push(bytes);
    this.#bytes += bytes.length;
    this.#notify();
  }

  end(): void {
    if (this.endedAt > 0) return;
    this.endedAt = Date.now();
    this.#notify();
  }

  /** Ends without a whole answer; what was kept is discarded. */
  refuse(refusal: Refusal): void {
    if (this.endedAt > 0) return;
    this.endedAt = Date.now();
    this.#refusal = refusal;
    this.#parts = [];
    this.#notify();
  }

  /** Frames from `offset` on, with heartbeats while nothing comes. */
  async *read(offset: number): AsyncGenerator<AnswerFrame> {
    this.#readers += 1;
    this.unreadSince = 0;
    try {
      yield* this.#frames(offset);
    } finally {
      this.#readers -= 1;
      if (this.#readers === 0) this.unreadSince = Date.now();
    }
  }

  async *#frames(offset: number): AsyncGenerator<AnswerFrame> {
    let position = offset;
    let startTold = false;
    while (true) {
      if (this.#refusal !== undefined) {
        yield frame({ case: "refused", value: this.#refusal });
        return;
      }
      if (this.#start !== undefined && !startTold) {
        startTold = true;
        yield frame({ case: "start", value: this.#start });
        continue;
      }
      if (position < this.#bytes) {
        const data = this.#from(position);
        position += data.length;
        yield frame({ case: "data", value: data });
        continue;
      }
      if (this.endedAt > 0) {
        yield frame({ case: "end", value: { totalBytes: this.#bytes } });
        return;
      }
      const changed = await this.#untilChanged();
      if (!changed) yield frame({ case: "heartbeat", value: true });
    }
  }

  #from(position: number): Buffer {
    let skipped = 0;
    const parts: Buffer[] = [];
    for (const part of this.#parts) {
      const start = Math.max(0, position - skipped);
      if (start < part.length) parts.push(part.subarray(start));
      skipped += part.length;
    }
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  #untilChanged(): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (changed: boolean) => {
        clearTimeout(timer);
        this.#wake.delete(wake);
        resolve(changed);
      };
      const wake = () => settle(true);
      const timer = setTimeout(() => settle(false), HEARTBEAT_MILLISECONDS);
      this.#wake.add(wake);
    });
  }

  #notify(): void {
    for (const wake of [...this.#wake]) wake();
  }
}

function frame(body: Body): AnswerFrame {
  return create(AnswerFrameSchema, { body });
}
