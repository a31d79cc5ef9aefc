import type {
  AnswerFrame,
  AnswerRefused,
  RunRequest,
} from "@teaselrouter/messages/agent.ts";
import { CallOutcome } from "@teaselrouter/messages/agent.ts";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import { sleep } from "../../transport/sleep.ts";
import { AGENT_UNREACHABLE } from "./agent_unreachable.ts";
import type { AnswerPart } from "./answer_part.ts";
import { ExchangeStream } from "./exchange_stream.ts";
import { waitForSilence } from "./wait_for_silence.ts";

const MAX_CONSECUTIVE_FAILURES = 3;
const RECONNECT_DELAY_MILLISECONDS = 50;

type Options = {
  clients: ClientPool;
  address: string;
  request: RunRequest;
  /** Aborted when the call is given up or its caller disconnects. */
  signal: AbortSignal;
  /** Whether to attach to a call that was sent earlier instead of sending it. */
  attachOnly: boolean;
};

/**
 * Reads one answer from an agent, by byte offset. A stream that breaks is replaced
 * by one on a new connection, which resumes at the offset where it stopped, so
 * that no bytes are lost or duplicated. One that falls silent stays open until a
 * new one has sent a frame: whichever sends one first is read on, and the others
 * are closed.
 */
export class ExchangeReader {
  #options: Options;
  #offset = 0;
  #version: string | undefined;
  #consecutiveFailures = 0;
  #heardAt = monotonicMilliseconds();
  /** The one that is read, and those that may replace it, latest last. */
  #streams: ExchangeStream[] = [];

  constructor(options: Options) {
    this.#options = options;
  }

  get requestId(): string {
    return this.#options.request.requestId;
  }

  /** Since the last frame, or since the call was sent. */
  get silentMilliseconds(): number {
    return monotonicMilliseconds() - this.#heardAt;
  }

  /**
   * Yields the answer's parts up to "end", "refused" or "broken". Stops without
   * any of these if the signal is aborted.
   */
  async *read(): AsyncGenerator<AnswerPart> {
    const { signal } = this.#options;
    try {
      if (!signal.aborted) this.#openStream();
      while (!signal.aborted) {
        if (this.#consecutiveFailures > MAX_CONSECUTIVE_FAILURES) {
          yield { kind: "broken", reason: AGENT_UNREACHABLE };
          return;
        }
        const frame = await this.#readFrame();
        // A call that was given up says nothing about its connection.
        if (signal.aborted) return;
        const part = frame && this.#toAnswerPart(frame);
        if (part !== undefined) {
          yield part;
          if (part.kind !== "start" && part.kind !== "data") return;
        }
        if (frame !== undefined) this.#streams[0]!.advance();
      }
    } finally {
      for (const stream of this.#streams) stream.close();
    }
  }

  /** Undefined if a stream broke or fell silent instead. */
  async #readFrame(): Promise<AnswerFrame | undefined> {
    const latest = this.#streams.at(-1)!;
    const silence = waitForSilence(latest);
    const event = await Promise.race([
      ...this.#streams.map((stream) => stream.next),
      silence.found,
    ]);
    silence.stop();
    if (event === undefined) this.#replaceSilent(latest);
    else if (event.frame === undefined) await this.#leaveBroken(event.stream);
    else this.#keepOnly(event.stream);
    return event?.frame;
  }

  #openStream(): void {
    const { attachOnly, ...options } = this.#options;
    const mayHaveArrived = attachOnly || this.#version !== undefined;
    const offset = mayHaveArrived ? this.#offset : undefined;
    this.#streams.push(new ExchangeStream({ ...options, offset }));
  }

  /** What is silent stays open: it may go on before the new stream begins. */
  #replaceSilent(latest: ExchangeStream): void {
    this.#countFailure(latest);
    this.#openStream();
  }

  async #leaveBroken(stream: ExchangeStream): Promise<void> {
    if (this.#options.signal.aborted) return;
    const isLatest = stream === this.#streams.at(-1);
    this.#countFailure(stream);
    this.#close(stream);
    if (!isLatest) return;
    await sleep(RECONNECT_DELAY_MILLISECONDS);
    this.#openStream();
  }

  #countFailure({ client }: ExchangeStream): void {
    const { clients, address } = this.#options;
    this.#consecutiveFailures += 1;
    clients.dropConnection(address, client);
  }

  #keepOnly(stream: ExchangeStream): void {
    this.#heardAt = monotonicMilliseconds();
    for (const other of this.#streams) {
      if (other !== stream) this.#close(other);
    }
  }

  #close(stream: ExchangeStream): void {
    stream.close();
    this.#streams = this.#streams.filter((other) => other !== stream);
  }

  /** Undefined for heartbeats and for a start that was read before. */
  #toAnswerPart(frame: AnswerFrame): AnswerPart | undefined {
    const { body } = frame;
    switch (body.case) {
      case "start": {
        const { status, contentType, version } = body.value;
        if (this.#version === version) return undefined;
        if (this.#version !== undefined) return brokenPart("version-moved");
        this.#version = version;
        return { kind: "start", status, contentType, version };
      }
      case "data":
        this.#offset += body.value.length;
        this.#consecutiveFailures = 0;
        return { kind: "data", bytes: body.value };
      case "end":
        return body.value.totalBytes === this.#offset
          ? { kind: "end" }
          : brokenPart("length-differs");
      case "refused":
        return toRefusedPart(body.value);
      case "heartbeat":
        this.#consecutiveFailures = 0;
        return undefined;
      default:
        return undefined;
    }
  }
}

function brokenPart(reason: string): AnswerPart {
  return { kind: "broken", reason };
}

const OUTCOMES = {
  [CallOutcome.UNSPECIFIED]: "unknown",
  [CallOutcome.NOT_RUN]: "not-run",
  [CallOutcome.RAN]: "ran",
  [CallOutcome.UNKNOWN]: "unknown",
} as const;

function toRefusedPart(refused: AnswerRefused): AnswerPart {
  return {
    kind: "refused",
    outcome: OUTCOMES[refused.outcome],
    reason: refused.reason,
    retryAfterMilliseconds: refused.retryAfterMilliseconds,
    endedIncarnation: refused.endedIncarnation,
  };
}
