import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { AnswerWatch } from "../http/answer_watch.ts";
import { collectAnswer } from "./collect_answer.ts";
import { StreamRelay } from "./stream_relay.ts";

const BYTES = 300_000;
const COLLECTED_BYTES = 65_536;

/** Starts a server with `handle` and sends it one request. */
async function ask(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<
  { message: IncomingMessage; answer: AnswerWatch; close: () => void }
> {
  const server = createServer(handle);
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const sent = request({ host: "127.0.0.1", port });
  const answer = new AnswerWatch();
  answer.watch(sent);
  const message = await new Promise<IncomingMessage>((resolve) => {
    sent.once("response", (received) => {
      answer.follow(received);
      resolve(received);
    });
    sent.end();
  });
  return {
    message,
    answer,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

// A plain service answers with a document of some hundred kilobytes. The first
// part is buffered, the rest is forwarded as it arrives. Guards against answers
// that stopped after the first part, whose clients waited until their deadline.
test("an answer too large to be buffered is forwarded to its end", async () => {
  const backend = await ask((_, response) => response.end(Buffer.alloc(BYTES)));
  const { message, answer } = backend;
  const collected = await collectAnswer(message, answer, COLLECTED_BYTES);
  assert.equal(collected.kind, "large");
  assert.ok(collected.kind === "large");
  const gateway = await ask(async (_, response) => {
    response.write(collected.bytes);
    const relay = new StreamRelay({ response, wholeEvents: false });
    assert.equal(await relay.relay(message, answer), "whole");
    response.end();
  });
  let bytes = 0;
  for await (const part of gateway.message) bytes += part.length;
  assert.equal(bytes, BYTES);
  backend.close();
  gateway.close();
});
