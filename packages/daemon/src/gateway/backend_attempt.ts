import type { AnswerFacts } from "@teaselrouter/core/gateway/answer_facts.ts";
import type { Buffer } from "node:buffer";
import {
  type ClientRequest,
  type IncomingMessage,
  request as openRequest,
} from "node:http";
import type { RequestFormat } from "../platform/request_format.ts";
import { splitAddress } from "../transport/split_address.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { BackendAgent } from "./backend_agent.ts";

/**
 * A connection that is not there after so long won't come: thirty times the
 * longest round trip between two hosts, and a full queue of a thin link. The
 * request can then still be in time elsewhere. A lost first packet is sent
 * again after a second only, which nobody waits for.
 */
const CONNECT_MILLISECONDS = 150;

/** The answer of another backend server than the one that was asked. */
const MISDIRECTED_STATUS = 421;

type Options = {
  address: string;
  agent: BackendAgent;
  method: string;
  path: string;
  headers: string[];
  body: Buffer | undefined;
  /** The attempt's id, which the answer has to bear. */
  id: string;
  format: RequestFormat;
  /** Told what the backend server itself says with its answer. */
  noteFacts: (facts: AnswerFacts) => void;
};

/** One sending of a request to one backend server. */
export class BackendAttempt {
  /** Settles once; never rejects. */
  readonly outcome: Promise<AttemptOutcome>;
  #options: Options;
  #request: ClientRequest;
  #isSent = false;
  #hasFailed = false;
  #isGivenUp = false;
  #settle!: (outcome: AttemptOutcome) => void;
  #connectTimer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
    const { address, agent, method, path, headers, body } = options;
    this.#request = openRequest({
      ...splitAddress(address),
      agent,
      method,
      path,
      headers: headers as unknown as Record<string, string>,
      setHost: false,
    });
    this.#request.on("socket", (socket) => this.#takeSocket(socket));
    this.#request.on("response", (message) => this.#takeResponse(message));
    this.#request.on("error", (error) => {
      this.#hasFailed = true;
      this.#fail(error.message);
    });
    this.#request.on("close", () => this.#fail("closed without an answer"));
    this.#request.setNoDelay(true);
    this.#request.end(body);
  }

  /** Whether a byte of it may have reached the backend server. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /**
   * Whether the connection failed. An answer without a length ends with its
   * connection, and a reset ends it for the parser like a proper close: only
   * this tells that it is not whole.
   */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** Whether this host ended it, not the backend server. */
  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** Ends it; the connection goes, so that the backend server stops work. */
  abort(reason: string): void {
    this.#isGivenUp = true;
    this.#fail(reason);
    this.#request.destroy();
  }

  #takeSocket(socket: NonNullable<ClientRequest["socket"]>): void {
    this.#watchEnd(socket);
    if (!socket.connecting) {
      this.#isSent = true;
      return;
    }
    // Where this process itself stood still, the timer is due ahead of the
    // news that the connection is there: those are looked at first.
    this.#connectTimer = setTimeout(() => {
      setImmediate(() => {
        if (socket.connecting) this.abort("no connection in time");
      });
    }, CONNECT_MILLISECONDS);
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#isSent = true;
    });
  }

  /**
   * Bytes and a reset that arrive together are read as bytes and a proper end;
   * an answer without a length, cut in the middle, then looks whole. Only the
   * connection's other end, which a reset takes away at once, still tells.
   */
  #watchEnd(socket: NonNullable<ClientRequest["socket"]>): void {
    const noteReset = () => {
      if (socket.remoteAddress === undefined) this.#hasFailed = true;
    };
    socket.prependListener("end", noteReset);
    this.#request.once("close", () => socket.off("end", noteReset));
  }

  #takeResponse(message: IncomingMessage): void {
    const { format, id, noteFacts } = this.#options;
    const facts = format.readAnswer(message.headers);
    if (message.statusCode !== MISDIRECTED_STATUS) noteFacts(facts);
    message.on("error", () => undefined);
    if (facts.id !== undefined && facts.id !== id) {
      this.abort("the answer is another request's");
      return;
    }
    if (facts.isNotRun) {
      message.resume();
      this.#settle({
        kind: "not-run",
        reason: `refused with ${message.statusCode}`,
        isUnreachable: false,
      });
      return;
    }
    this.#settle({ kind: "answer", message, facts });
  }

  #fail(reason: string): void {
    clearTimeout(this.#connectTimer);
    this.#settle(
      this.#isSent
        ? { kind: "broken", reason, isGivenUp: this.#isGivenUp }
        : { kind: "not-run", reason, isUnreachable: true },
    );
  }
}
