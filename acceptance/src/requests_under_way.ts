import type { EndToEndSystem } from "./end_to_end_system.ts";
import { type Answer, KeptConnection } from "./kept_connection.ts";

/** At 100 ms each, a stream lasts until a change is in force. */
export const STREAM_EVENTS = 10;

/** What the stand-in's engines stream. */
export function buildEvents(count = STREAM_EVENTS): string {
  return Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
  ).join("");
}

const DEADLINE_MILLISECONDS = 8_000;
/** Time for which the server of the plain requests holds its answers. */
const HOLD_MILLISECONDS = 800;
const BODY = ["first ", "last"];

type HeadOptions = {
  id: string;
  method?: string;
  headers?: Record<string, string>;
};

/** Builds a request's head as the platform's clients send it. */
export function buildHead(
  path: string,
  { id, method = "GET", headers = {} }: HeadOptions,
): string {
  const lines = Object.entries({
    Host: "desk.example",
    "Attempt-Id": id,
    "Deadline-Ms": String(DEADLINE_MILLISECONDS),
    Authorization: "Bearer key-1",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
}

export function buildStreamRequest(id: string): string {
  return buildHead("/write/x", {
    id,
    method: "POST",
    headers: {
      Model: "model-1",
      "Token-Usage": "100,8",
      "Content-Length": "6",
    },
  }) + "prompt";
}

/**
 * A request in each state at one gateway, each on a connection that was used
 * before: two sent to a server that holds its answer, a stream that has begun,
 * one of which half the head was sent, and one of which half the body was.
 */
export class RequestsUnderWay {
  #name: string;
  #connections: Record<Part, KeptConnection>;

  private constructor(name: string, connections: Record<Part, KeptConnection>) {
    this.#name = name;
    this.#connections = connections;
  }

  static async begin(
    system: EndToEndSystem,
    name: string,
  ): Promise<RequestsUnderWay> {
    const url = system.cluster.frontendUrl(system.gatewayIp);
    const opened = await Promise.all(PARTS.map(async (part) => {
      const connection = await KeptConnection.open(url);
      const id = `${name}-${part}-before`;
      const { status } = await connection.ask(buildHead("/look/", { id }));
      if (status !== 200) throw new Error(`${id} got ${status}`);
      return [part, connection] as const;
    }));
    const connections = Object.fromEntries(opened) as Connections;
    const underWay = new RequestsUnderWay(name, connections);
    system.plainServer.fallSilent(HOLD_MILLISECONDS);
    const { look, pay, write, halfHead, halfBody } = connections;
    look.send(underWay.#buildLook());
    pay.send(underWay.#buildPay("pay") + BODY.join(""));
    write.send(buildStreamRequest(`${name}-write`));
    halfHead.send(underWay.#buildPay("half-head").slice(0, HALF_HEAD_BYTES));
    halfBody.send(underWay.#buildPay("half-body") + BODY[0]);
    await write.waitForBytes();
    return underWay;
  }

  /** What a plain server answers to one of the requests. */
  echo(method: string, route: string, body = "", id = route): string {
    const path = `/${route}/${this.#name}-${id}`;
    return [method, path, "tenant-1", body].join(" ");
  }

  /** Reads the answers under way, then completes the half requests. */
  async complete() {
    const { look, pay, write, halfHead, halfBody } = this.#connections;
    const [lookAnswer, payAnswer] = [await look.read(), await pay.read()];
    halfHead.send(
      this.#buildPay("half-head").slice(HALF_HEAD_BYTES) + BODY.join(""),
    );
    halfBody.send(BODY[1]!);
    return {
      look: toResult(lookAnswer),
      pay: toResult(payAnswer),
      write: toResult(await write.read()),
      halfBody: toResult(await halfBody.read()),
      halfHead: (await halfHead.read()).status,
    };
  }

  /** Statuses of new requests on the connections, which are idle now. */
  async askAgain() {
    const name = `${this.#name}-again`;
    const { look, pay, write } = this.#connections;
    const payRequest = buildHead("/pay/", {
      id: `${name}-pay`,
      method: "POST",
      headers: { "Content-Length": "5" },
    });
    const answers = await Promise.all([
      look.ask(buildHead("/look/", { id: `${name}-look` })),
      pay.ask(payRequest + "again"),
      write.ask(buildStreamRequest(`${name}-write`)),
    ]);
    const [lookStatus, payStatus, writeStatus] = answers
      .map(({ status }) => status);
    return { look: lookStatus, pay: payStatus, write: writeStatus };
  }

  close(): void {
    for (const connection of Object.values(this.#connections)) {
      connection.close();
    }
  }

  #buildLook(): string {
    const id = `${this.#name}-look`;
    return buildHead(`/look/${id}`, { id });
  }

  #buildPay(part: string): string {
    const id = `${this.#name}-${part}`;
    return buildHead(`/pay/${id}`, {
      id,
      method: "POST",
      headers: { "Content-Length": String(BODY.join("").length) },
    });
  }
}

const PARTS = ["look", "pay", "write", "halfHead", "halfBody"] as const;
const HALF_HEAD_BYTES = 40;

type Part = typeof PARTS[number];
type Connections = Record<Part, KeptConnection>;

function toResult({ status, text }: Answer) {
  return { status, text };
}
