import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import { isServerAddress } from "@teaselrouter/core/membership/is_server_address.ts";
import type { Buffer } from "node:buffer";
import {
  type ClientRequest,
  type IncomingMessage,
  request as openRequest,
} from "node:http";
import { AnswerWatch } from "../http/answer_watch.ts";
import { discardRest } from "../http/discard_rest.ts";
import { limitInterimAnswers } from "../http/limit_interim_answers.ts";
import type { RequestFormat } from "../platform/request_format.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { splitAddress } from "../transport/split_address.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { BackendAgent } from "./backend_agent.ts";

/**
 * A connection that is not established by then is given up, so that the request
 * can still be in time elsewhere. The timeout is thirty times the longest round
 * trip between two hosts and covers a full queue on a slow link. A lost SYN is
 * retransmitted only after a second, which is too long to wait for.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 150;

/**
 * A head that is older when it could leave isn't sent: it would tell the backend
 * server more time than is left. Longer than it takes to connect, and a turn of
 * a busy process.
 */
const MAX_HEAD_AGE_MILLISECONDS = 350;

/** Node.js reads answers with lower ones, and refuses to send them. */
const MIN_STATUS = 100;

/** Sent by a backend server other than the one addressed. */
const MISDIRECTED_STATUS = 421;

type Options = {
  address: string;
  agent: BackendAgent;
  method: string;
  path: string;
  /** Builds the head when the request has a connection, or is about to. */
  buildHead: () => Head;
  body: Buffer | undefined;
  /** Id of the attempt; an answer with another id is rejected. */
  id: string;
  /** See `AnswerWatch`. */
  expectsEvents?: boolean;
  format: RequestFormat;
  /**
   * Called with the metadata in an answer's headers, unless a backend server
   * other than the one addressed sent the answer.
   */
  onMetadata: (metadata: AnswerMetadata) => void;
  /** Called with the metadata of an answer by another backend server. */
  onMisdirected: (metadata: AnswerMetadata) => void;
};

type Head = {
  headers: string[];
  /** Time that the headers say is left. */
  deadlineMilliseconds: number;
};

/** One attempt to send a request to one backend server. */
export class BackendAttempt {
  /** Settles once; never rejects. */
  readonly outcome: Promise<AttemptOutcome>;
  readonly answer: AnswerWatch;
  #options: Options;
  /** Undefined while the attempt waits for a connection. */
  #request: ClientRequest | undefined;
  #deadlineMilliseconds: number | undefined;
  #stopWaiting = () => {};
  #sentAt: number | undefined;
  #isAborted = false;
  #settle!: (outcome: AttemptOutcome) => void;
  #connectTimer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.answer = new AnswerWatch(options);
    this.#stopWaiting = options.agent.acquire((isLater) => {
      try {
        this.#open();
      } catch (error) {
        options.agent.release();
        if (!isLater) throw error;
        this.abort(`it can't be sent: ${error}`);
      }
    });
  }

  /** Whether a byte of the request may have reached the backend server. */
  get isSent(): boolean {
    return this.#sentAt !== undefined;
  }

  /** When its first byte was sent, monotonic milliseconds; undefined before. */
  get sentAt(): number | undefined {
    return this.#sentAt;
  }

  /** Time that the backend server was told; undefined if it was told nothing. */
  get toldMilliseconds(): number | undefined {
    return this.isSent ? this.#deadlineMilliseconds : undefined;
  }

  /** Whether this host, not the backend server, ended the attempt. */
  get isAborted(): boolean {
    return this.#isAborted || this.answer.isGivenUp;
  }

  /**
   * Ends the attempt and closes its connection, so that the backend server
   * stops working on the request.
   */
  abort(reason: string): void {
    this.#isAborted = true;
    this.answer.giveUp();
    this.#stopWaiting();
    this.#fail(reason);
    this.#request?.destroy();
  }

  /**
   * Ends the attempt as not run if no byte of it can have been sent, otherwise
   * does nothing.
   */
  withdraw(reason: string): void {
    if (this.isSent) return;
    this.#isAborted = true;
    this.#stopWaiting();
    this.#settle({ kind: "not-run", reason, isUnreachable: false });
    clearTimeout(this.#connectTimer);
    this.#request?.destroy();
  }

  #open(): void {
    // Node.js throws for a port out of range, into whoever sends.
    if (!isServerAddress(this.#options.address)) {
      this.#options.agent.release();
      return this.#fail("its backend server's address can't be right");
    }
    const { address, agent, method, path, body, buildHead } = this.#options;
    const builtAt = monotonicMilliseconds();
    const { headers, deadlineMilliseconds } = buildHead();
    this.#deadlineMilliseconds = deadlineMilliseconds;
    const request = openRequest({
      ...splitAddress(address),
      agent,
      method,
      path,
      headers: frameBody(headers, body) as unknown as Record<string, string>,
      setHost: false,
    });
    this.#request = request;
    this.answer.watch(request);
    request.on("socket", (socket) => this.#handleSocket(socket, builtAt));
    request.on("response", (message) => {
      try {
        this.#handleResponse(message);
      } catch (error) {
        // Thrown from here, it would end the process.
        this.abort(`reading the answer's head failed: ${error}`);
      }
    });
    limitInterimAnswers(request, (reason) => this.abort(reason));
    request.on("error", (error) => this.#fail(error.message));
    request.on("close", () => {
      agent.release();
      this.#fail("closed without an answer");
    });
    request.setNoDelay(true);
    request.end(body);
  }

  /** Node.js writes the head behind this, and behind what listens here. */
  #handleSocket(
    socket: NonNullable<ClientRequest["socket"]>,
    builtAt: number,
  ): void {
    const beginSending = () => {
      const age = monotonicMilliseconds() - builtAt;
      if (age > MAX_HEAD_AGE_MILLISECONDS) {
        return this.withdraw("its time was told too long ago");
      }
      this.#sentAt = monotonicMilliseconds();
    };
    if (!socket.connecting) return beginSending();
    // If this process itself was stalled, the timer fires before the pending
    // "connect" event is handled: let the event loop poll for it first.
    this.#connectTimer = setTimeout(() => {
      setImmediate(() => {
        if (socket.connecting) this.abort("no connection in time");
      });
    }, CONNECT_TIMEOUT_MILLISECONDS);
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      beginSending();
    });
  }

  #handleResponse(message: IncomingMessage): void {
    const { format, id, onMetadata, onMisdirected } = this.#options;
    const status = message.statusCode ?? 0;
    message.on("error", () => undefined);
    if (status < MIN_STATUS) {
      return this.abort("the answer has no valid status");
    }
    const metadata = format.readAnswer(
      message.headers,
      status,
      message.rawHeaders,
    );
    if (status === MISDIRECTED_STATUS) onMisdirected(metadata);
    else onMetadata(metadata);
    if (metadata.id !== undefined && metadata.id !== id) {
      this.abort("the answer is another request's");
      return;
    }
    if (metadata.isNotRun) {
      discardRest(message);
      this.#settle({
        kind: "not-run",
        reason: `refused with ${status}`,
        isUnreachable: false,
      });
      return;
    }
    this.answer.follow(message);
    this.#settle({ kind: "answer", message, metadata });
  }

  #fail(reason: string): void {
    clearTimeout(this.#connectTimer);
    this.#settle(
      this.isSent
        ? { kind: "broken", reason, isAborted: this.#isAborted }
        : { kind: "not-run", reason, isUnreachable: true },
    );
  }
}

/**
 * Node.js sends the body of a GET, HEAD or DELETE request without a length: the
 * backend server would read it as its next request.
 */
function frameBody(headers: string[], body: Buffer | undefined): string[] {
  if (body === undefined) return headers;
  return [...headers, "Content-Length", String(body.length)];
}
