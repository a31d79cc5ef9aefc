import type {
  AnswerFrame,
  AnswerRefused,
  RunRequest,
} from "@teaselrouter/messages/agent.ts";
import { CallOutcome, CallService } from "@teaselrouter/messages/agent.ts";
import type { ClientPool } from "../../transport/client_pool.ts";
import { pause } from "../../transport/pause.ts";
import type { AnswerPart } from "./answer_part.ts";

const SILENT_MILLISECONDS = 1_500;
const MOST_FAILED_CONNECTIONS = 3;
const RECONNECT_MILLISECONDS = 50;

type Options = {
  clients: ClientPool;
  address: string;
  request: RunRequest;
  /** The call was given up, or its caller left. */
  signal: AbortSignal;
  /** Attach to a call that was sent before, instead of sending it. */
  attachOnly: boolean;
};

/**
 * Reads one answer from an agent by offset. A connection that breaks, or is
 * silent for longer than the agent's heartbeat, is given up and the answer
 * taken up on a new one where it stopped, so nothing is lost or doubled.
 */
export class ExchangeReader {
  #options: Options;
  #offset = 0;
  #version: string | undefined;
  #failures = 0;

  constructor(options: Options) {
    this.#options = options;
  }

  async *read(): AsyncGenerator<AnswerPart> {
    while (!this.#options.signal.aborted) {
      try {
        for await (const frame of this.#connect()) {
          const part = this.#take(frame);
          if (part === undefined) continue;
          yield part;
          if (part.kind !== "start" && part.kind !== "data") return;
        }
      } catch {
        // Told apart below: what broke is the connection, not the answer.
      }
      this.#failures += 1;
      if (this.#failures > MOST_FAILED_CONNECTIONS) {
        yield { kind: "broken", reason: "agent-unreachable" };
        return;
      }
      this.#options.clients.renew(this.#options.address);
      await pause(RECONNECT_MILLISECONDS);
    }
  }

  async *#connect(): AsyncGenerator<AnswerFrame> {
    const { clients, address, request, signal, attachOnly } = this.#options;
    const client = clients.client(CallService, address);
    const silence = new AbortController();
    const options = { signal: AbortSignal.any([signal, silence.signal]) };
    const giveUp = () => silence.abort();
    let timer = setTimeout(giveUp, SILENT_MILLISECONDS);
    const frames = attachOnly || this.#version !== undefined
      ? client.attach({
        requestId: request.requestId,
        offset: this.#offset,
      }, options)
      : client.run(request, options);
    try {
      for await (const frame of frames) {
        clearTimeout(timer);
        yield frame;
        timer = setTimeout(giveUp, SILENT_MILLISECONDS);
      }
    } finally {
      clearTimeout(timer);
    }
  }

  #take(frame: AnswerFrame): AnswerPart | undefined {
    const { body } = frame;
    switch (body.case) {
      case "start": {
        const { status, contentType, version } = body.value;
        if (this.#version === version) return undefined;
        if (this.#version !== undefined) return broken("version-moved");
        this.#version = version;
        return { kind: "start", status, contentType, version };
      }
      case "data":
        this.#offset += body.value.length;
        this.#failures = 0;
        return { kind: "data", bytes: body.value };
      case "end":
        return body.value.totalBytes === this.#offset
          ? { kind: "end" }
          : broken("length-differs");
      case "refused":
        return refusalOf(body.value);
      default:
        return undefined;
    }
  }
}

function broken(reason: string): AnswerPart {
  return { kind: "broken", reason };
}

const OUTCOMES = {
  [CallOutcome.UNSPECIFIED]: "unknown",
  [CallOutcome.NOT_RUN]: "not-run",
  [CallOutcome.RAN]: "ran",
  [CallOutcome.UNKNOWN]: "unknown",
} as const;

function refusalOf(refused: AnswerRefused): AnswerPart {
  return {
    kind: "refused",
    outcome: OUTCOMES[refused.outcome],
    reason: refused.reason,
    retryAfterMilliseconds: refused.retryAfterMilliseconds,
    endedIncarnation: refused.endedIncarnation,
  };
}
