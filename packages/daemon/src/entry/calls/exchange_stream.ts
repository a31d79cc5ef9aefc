import type { Client } from "@connectrpc/connect";
import { findSilentAt } from "@teaselrouter/core/routing/find_silent_at.ts";
import type { AnswerFrame, RunRequest } from "@teaselrouter/messages/agent.ts";
import { CallService } from "@teaselrouter/messages/agent.ts";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { PooledConnection } from "../../transport/pooled_connection.ts";

type Options = {
  clients: ClientPool;
  address: string;
  request: RunRequest;
  /** Of the answer, to read from; undefined to send the call. */
  offset: number | undefined;
  signal: AbortSignal;
};

/** Without a frame, the stream has ended or broken. */
type StreamEvent = { stream: ExchangeStream; frame: AnswerFrame | undefined };

/** Reads an answer's frames on one connection. */
export class ExchangeStream {
  readonly client: Client<typeof CallService>;
  readonly connection: PooledConnection;
  #closer = new AbortController();
  #frames: AsyncIterator<AnswerFrame>;
  #heardAt = monotonicMilliseconds();
  #next: Promise<StreamEvent>;

  constructor({ clients, address, request, offset, signal }: Options) {
    this.client = clients.client(CallService, address);
    this.connection = clients.connectionOf(this.client);
    const options = { signal: AbortSignal.any([signal, this.#closer.signal]) };
    const { requestId } = request;
    const frames = offset === undefined
      ? this.client.run(request, options)
      : this.client.attach({ requestId, offset }, options);
    this.#frames = frames[Symbol.asyncIterator]();
    this.#next = this.#readNext();
  }

  /** The frame that was not taken yet, or is to come. */
  get next(): Promise<StreamEvent> {
    return this.#next;
  }

  /** When this stream counts as silent, monotonic milliseconds. */
  get silentAt(): number {
    return findSilentAt({
      heardAt: this.#heardAt,
      connection: this.connection,
    });
  }

  /** Goes on behind the frame that was taken. */
  advance(): void {
    this.#heardAt = monotonicMilliseconds();
    this.#next = this.#readNext();
  }

  close(): void {
    this.#closer.abort();
  }

  async #readNext(): Promise<StreamEvent> {
    try {
      const { done, value } = await this.#frames.next();
      if (done) return { stream: this, frame: undefined };
      this.connection.recordFrame();
      return { stream: this, frame: value };
    } catch {
      // The stream broke, not the answer: its reader goes on with another.
      return { stream: this, frame: undefined };
    }
  }
}
