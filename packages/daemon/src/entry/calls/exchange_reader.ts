import type {
  AnswerFrame,
  AnswerRefused,
  RunRequest,
} from "@teaselrouter/messages/agent.ts";
import { CallOutcome, CallService } from "@teaselrouter/messages/agent.ts";
import type { Client } from "@connectrpc/connect";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import { sleep } from "../../transport/sleep.ts";
import { AGENT_UNREACHABLE } from "./agent_unreachable.ts";
import type { AnswerPart } from "./answer_part.ts";
import { SilenceTimer } from "./silence_timer.ts";

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
 * Reads one answer from an agent, by byte offset. A connection that breaks, or
 * stays silent for longer than the agent's heartbeat interval allows, is
 * replaced by a new one. Once another call has found the connection silent, less
 * silence is enough. The reading resumes at the offset where it stopped,
 * so that no bytes are lost or duplicated.
 */
export class ExchangeReader {
  #options: Options;
  #offset = 0;
  #version: string | undefined;
  #consecutiveFailures = 0;
  #heardAt = monotonicMilliseconds();
  /** On the connection that was used last. */
  #client: Client<typeof CallService> | undefined;

  constructor(options: Options) {
    this.#options = options;
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
    while (!this.#options.signal.aborted) {
      try {
        for await (const frame of this.#connect()) {
          const part = this.#toAnswerPart(frame);
          if (part === undefined) continue;
          yield part;
          if (part.kind !== "start" && part.kind !== "data") return;
        }
      } catch {
        // The connection broke, not the answer: the loop reconnects.
      }
      // A call that was given up says nothing about its connection.
      if (this.#options.signal.aborted) return;
      this.#consecutiveFailures += 1;
      if (this.#consecutiveFailures > MAX_CONSECUTIVE_FAILURES) {
        yield { kind: "broken", reason: AGENT_UNREACHABLE };
        return;
      }
      const { clients, address } = this.#options;
      clients.dropConnection(address, this.#client);
      await sleep(RECONNECT_DELAY_MILLISECONDS);
    }
  }

  async *#connect(): AsyncGenerator<AnswerFrame> {
    const { clients, address, request, signal, attachOnly } = this.#options;
    const client = clients.client(CallService, address);
    this.#client = client;
    const silenceController = new AbortController();
    const options = {
      signal: AbortSignal.any([signal, silenceController.signal]),
    };
    const timer = new SilenceTimer(() => silenceController.abort());
    const dropped = clients.dropped$(client).subscribe(() => timer.suspect());
    timer.start();
    const frames = attachOnly || this.#version !== undefined
      ? client.attach({
        requestId: request.requestId,
        offset: this.#offset,
      }, options)
      : client.run(request, options);
    try {
      for await (const frame of frames) {
        timer.stop();
        this.#heardAt = monotonicMilliseconds();
        yield frame;
        timer.start();
      }
    } finally {
      dropped.unsubscribe();
      timer.stop();
    }
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
