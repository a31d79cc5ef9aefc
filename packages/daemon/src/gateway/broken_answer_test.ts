import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

type Framing = "connection" | "chunks" | "length";
type End = "close" | "reset" | "late-reset";
type Answer = {
  framing: Framing;
  end: End;
  /** Sent one after the other, in packets of their own. */
  parts: readonly string[];
  /** Lines of the head. */
  head?: string;
};

const EVENT = "id: 1\ndata: one\n\n";
const EVENT_STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const PART_MILLISECONDS = 20;
const FRAMINGS: Framing[] = ["connection", "chunks", "length"];
const VERSIONS = ["1.1", "1.0"] as const;
const MANY_EVENTS = EVENT.repeat(60_000);

/** Streams that end within an event, each in packets. */
const BROKEN_STREAMS: Record<string, readonly string[]> = {
  "in one packet": [`${EVENT}id: 2\nda`],
  "behind the event": [EVENT, "id: 2\nda"],
  "behind an id": [EVENT, "id: 2\n"],
  "ahead of the empty line": [`${EVENT}id: 2\ndata: two\n`],
  "with CRLF": ["id: 1\r\ndata: one\r\n\r\nid: 2\r\nda"],
  "with CR": ["id: 1\rdata: one\r\rid: 2\rda"],
  "in the first event": ["id: 1\nda"],
  "behind a megabyte": [`${MANY_EVENTS}id: 2\nda`],
};

const WHOLE_STREAMS: Record<string, readonly string[]> = {
  "LF": [EVENT],
  "CRLF": ["id: 1\r\ndata: one\r\n\r\n"],
  "CRLF, whose last LF comes late": ["id: 1\r\ndata: one\r\n\r", "\n"],
  "CR": ["id: 1\rdata: one\r\r"],
  "an empty line in a packet of its own": ["id: 1\ndata: one\n", "\n"],
  "a byte order mark": [`\xef\xbb\xbf${EVENT}`],
  "a byte order mark and nothing more": ["\xef\xbb\xbf"],
  "comments": [`: first\n\n${EVENT}: last\n`],
  "fields without a colon": ["id: 1\ndata\n\n"],
  "a megabyte": [MANY_EVENTS],
};

/** Answers on a route of streams that are no event streams. */
const OTHER_ANSWERS: Record<string, { head: string; body: string }> = {
  "an error": {
    head: "HTTP/1.1 500 No\r\nContent-Type: application/json\r\n",
    body: '{"error":1}',
  },
  "another type": {
    head: "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n",
    body: "id: 1\ndata: one",
  },
  "an encoded stream": {
    head: `${EVENT_STREAM}Content-Encoding: br\r\n`,
    body: "id: 1\ndata: one",
  },
};

async function sendAnswer(socket: Socket, answer: Answer): Promise<void> {
  const { framing, end, parts, head = EVENT_STREAM } = answer;
  const bytes = parts.reduce((sum, part) => sum + part.length, 0);
  const fields = {
    connection: "Connection: close\r\n",
    chunks: "Transfer-Encoding: chunked\r\n",
    length: `Content-Length: ${bytes}\r\n`,
  };
  socket.write(`${head}${fields[framing]}\r\n`);
  for (const [index, part] of parts.entries()) {
    if (index > 0) await sleep(PART_MILLISECONDS);
    const size = part.length.toString(16);
    const packet = framing === "chunks" ? `${size}\r\n${part}\r\n` : part;
    socket.write(packet, "latin1");
  }
  if (end === "close") {
    return void socket.end(framing === "chunks" ? "0\r\n\r\n" : "");
  }
  if (end === "late-reset") await sleep(PART_MILLISECONDS);
  socket.write("", () => socket.resetAndDestroy());
}

type Sent = {
  version: "1.1" | "1.0";
  resumable: boolean;
  method?: string;
};

/** Every framing, to every client, of a stream that may be resumed or not. */
const CASES = FRAMINGS.flatMap((framing) =>
  VERSIONS.flatMap((version) =>
    [true, false].map((resumable) => ({ framing, version, resumable }))
  )
);

/** Sends one request, and returns what its client can tell of the answer. */
async function ask(answer: Answer, { version, resumable, method }: Sent) {
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.once("data", () => void sendAnswer(socket, answer)),
    route: { maxBackends: 1, resumable },
  });
  try {
    const client = new RawClient(
      gateway.port,
      `${method ?? "GET"} /stream/ HTTP/${version}\r\nHost: x\r\nId: a1\r\n` +
        "Connection: close\r\n\r\n",
    );
    const received = await client.readToEnd();
    const [head, ...rest] = received.split("\r\n\r\n");
    const body = rest.join("\r\n\r\n");
    await gateway.waitUntilIdle();
    return {
      isWhole: looksWhole({ head: head!, body, isReset: client.isReset }),
      received,
      body,
      gateway,
    };
  } finally {
    gateway.close();
  }
}

/** Whether a client takes the answer for complete. */
function looksWhole(
  { head, body, isReset }: { head: string; body: string; isReset: boolean },
): boolean {
  if (/transfer-encoding: chunked/i.test(head)) {
    return /(^|\r\n)0\r\n\r\n$/.test(body);
  }
  const [, length] = /content-length: (\d+)/i.exec(head) ?? [];
  if (length !== undefined) return body.length === Number(length);
  return !isReset;
}

// Guards against a stream that its backend server broke off and whose client
// takes it for complete.
test("a stream that ends inside an event is cut off, however it is framed", async () => {
  for (const [name, parts] of Object.entries(BROKEN_STREAMS)) {
    for (const { framing, ...sent } of CASES) {
      const { isWhole, gateway } = await ask(
        { framing, end: "close", parts },
        sent,
      );
      const about = `${name}, ${framing}, ${JSON.stringify(sent)}`;
      assert.equal(isWhole, false, about);
      const [broken] = gateway.fieldsOf("answer-broken");
      assert.equal(broken?.answer_end, "inside-event", about);
    }
  }
});

// Guards against a reset that is taken for the end of an answer.
test("a stream that is reset is cut off, wherever and whenever", async () => {
  const streams = { ...BROKEN_STREAMS, "behind a whole event": [EVENT] };
  for (const [name, parts] of Object.entries(streams)) {
    for (const end of ["reset", "late-reset"] as const) {
      for (const framing of ["connection", "chunks"] as const) {
        for (const version of VERSIONS) {
          const { isWhole } = await ask(
            { framing, end, parts },
            { version, resumable: true },
          );
          assert.equal(
            isWhole,
            false,
            `${name}, ${end}, ${framing}, ${version}`,
          );
        }
      }
    }
  }
});

// Guards against whole streams that are cut off, as their last bytes are taken
// for part of an event.
test("a stream that ends behind an event is whole, however it is framed", async () => {
  for (const [name, parts] of Object.entries(WHOLE_STREAMS)) {
    for (const { framing, ...sent } of CASES) {
      const { isWhole, received } = await ask(
        { framing, end: "close", parts },
        sent,
      );
      const about = `${name}, ${framing}, ${JSON.stringify(sent)}`;
      assert.equal(isWhole, true, about);
      const isPlain = sent.version === "1.0";
      assert.ok(!isPlain || received.endsWith(parts.join("")), about);
    }
  }
});

// Guards against answers that are cut off because they are no event streams.
test("an answer that is no event stream is judged by its framing alone", async () => {
  for (const [name, { head, body }] of Object.entries(OTHER_ANSWERS)) {
    for (const framing of FRAMINGS) {
      for (const resumable of [true, false]) {
        const { isWhole, received } = await ask(
          { framing, end: "close", parts: [body], head },
          { version: "1.0", resumable },
        );
        assert.equal(isWhole, true, `${name}, ${framing}`);
        assert.ok(received.endsWith(body), `${name}, ${framing}`);
      }
    }
  }
});

// Guards against a stream that is read by events, to be resumed, and then judged
// by its framing.
test("a stream that names no type is judged by its events where it may be resumed", async () => {
  const head = "HTTP/1.1 200 OK\r\n";
  for (const framing of FRAMINGS) {
    for (const resumable of [true, false]) {
      for (const parts of [[EVENT], [EVENT, "id: 2\nda"]]) {
        const { isWhole } = await ask(
          { framing, end: "close", parts, head },
          { version: "1.1", resumable },
        );
        const about = `${framing}, ${resumable}, ${parts.length}`;
        assert.equal(isWhole, !resumable || parts.length === 1, about);
      }
    }
  }
});

// Guards against answers without a body that are waited for or cut off.
test("an answer without a body is whole on a route of streams", async () => {
  const noContent = EVENT_STREAM.replace("200 OK", "204 None");
  for (
    const { head, method } of [
      { head: noContent, method: "GET" },
      { head: EVENT_STREAM, method: "HEAD" },
    ]
  ) {
    const { received, gateway } = await ask(
      { framing: "connection", end: "close", parts: [], head },
      { version: "1.1", resumable: true, method },
    );
    assert.match(received, /^HTTP\/1\.1 20[04] .*\r\n\r\n$/s);
    assert.equal(gateway.fieldsOf("request-ended")[0]?.outcome, "answered");
  }
});

// Guards against a broken answer that counts as none, or as several, where its
// client's answer is cut.
test("a stream that is cut off is counted once, as broken", async () => {
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.once("data", () =>
        void sendAnswer(socket, {
          framing: "connection",
          end: "close",
          parts: [EVENT, "id: 2\nda"],
        })),
    route: { maxBackends: 2, resumable: false },
  });
  const { crashWatch, retries, pool } = gateway.context;
  let breaks = 0;
  crashWatch.recordBrokenRequest = () => breaks += 1;
  try {
    const countRetries = () => {
      const now = monotonicMilliseconds();
      return retries.purseOf("service", now).left(now);
    };
    const before = countRetries();
    const client = new RawClient(
      gateway.port,
      "GET /stream/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n\r\n",
    );
    await client.readToEnd();
    await gateway.waitUntilIdle();
    assert.equal(breaks, 1);
    assert.equal(gateway.fieldsOf("answer-broken").length, 1);
    assert.equal(gateway.fieldsOf("answer-cut").length, 1);
    assert.deepEqual(
      gateway.fieldsOf("request-ended").map(({ outcome }) => outcome),
      ["unknown"],
    );
    assert.ok(countRetries() >= before, "no retry is spent");
    assert.equal(gateway.backendArrivals, 1, "it was not sent again");
    assert.equal(pool.recordOf("one").inFlight, 0);
  } finally {
    gateway.close();
  }
});

// Guards against an end that is judged before its client has taken the bytes
// ahead of it.
test("a slow client gets the whole of a stream, and not the end of a broken one", async () => {
  for (const tail of ["", "id: 2\nda"]) {
    const gateway = await GatewayFixture.open({
      backend: (socket) =>
        socket.once("data", () =>
          void sendAnswer(socket, {
            framing: "connection",
            end: "close",
            parts: [MANY_EVENTS.repeat(8) + tail],
          })),
      route: { maxBackends: 1, resumable: true },
    });
    try {
      const client = new RawClient(
        gateway.port,
        "GET /stream/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n" +
          "Connection: close\r\n\r\n",
      );
      client.socket.pause();
      await sleep(300);
      client.socket.resume();
      const received = await client.readToEnd();
      const isWhole = /\r\n0\r\n\r\n$/.test(received);
      assert.equal(isWhole, tail === "");
      const events = received.match(/id: 1\n/g)?.length ?? 0;
      assert.ok(!isWhole || events === 60_000 * 8, `${events} events`);
    } finally {
      gateway.close();
    }
  }
});
