import type { FakeEngine } from "../fakes/fake_engine.ts";
import { frameByConnection } from "../fakes/frame_by_connection.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { waitUntil } from "../harness/wait_until.ts";
import type { EntryFixture } from "./entry_fixture.ts";
import { withAgentFixture } from "./with_bench.ts";
import { withEntryFixture } from "./with_entry_fixture.ts";

type End = "close" | "reset" | "late-reset";
type Framing = "connection" | "chunks";

const EVENT = "id: 1\ndata: one\n\n";
const PART_MILLISECONDS = 20;
const TIMEOUT_MILLISECONDS = 10_000;
const ENDS: End[] = ["close", "reset", "late-reset"];
const FRAMINGS: Framing[] = ["connection", "chunks"];
const EVENT_STREAM = "text/event-stream";

const PARTS_OF_EVENTS = [
  [`${EVENT}id: 2\nda`],
  [EVENT, "id: 2\nda"],
  [EVENT, "id: 2\n"],
  ["id: 1\r\ndata: one\r\n\r\nid: 2\r\nda"],
];
const WHOLE_EVENTS = [
  [EVENT],
  ["id: 1\r\ndata: one\r\n\r\n"],
  ["id: 1\rdata: one\r\r"],
  ["id: 1\ndata: one\n", "\n"],
  [`\ufeff${EVENT}: the last\n`],
];

/** Sends the parts in packets of their own, and ends as it is told. */
async function answerWith(
  response: ServerResponse,
  { framing, end, parts, type = EVENT_STREAM }: {
    framing: Framing;
    end: End;
    parts: readonly string[];
    type?: string;
  },
): Promise<void> {
  if (framing === "connection") frameByConnection(response);
  response.setHeader("Content-Type", type);
  for (const [index, part] of parts.entries()) {
    if (index > 0) await sleep(PART_MILLISECONDS);
    await new Promise<void>((resolve) => response.write(part, () => resolve()));
  }
  if (end === "close") return void response.end();
  if (end === "late-reset") await sleep(PART_MILLISECONDS);
  response.socket!.resetAndDestroy();
}

/** Makes a call; "cut" for an answer that breaks off. */
async function makeCall(fixture: EntryFixture): Promise<string> {
  const url = `http://${fixture.address}/v1/services/portal/run`;
  const headers = { "Teaselrouter-Workspace": "desk" };
  try {
    const answer = await fetch(url, { method: "POST", headers, body: "a" });
    return `${answer.status} ${await answer.text()}`;
  } catch {
    return "cut";
  }
}

// Guards against a stream that its backend server broke off and whose caller
// takes it for complete.
test("a stream that ends inside an event is no answer, however it is framed", async () => {
  for (const framing of FRAMINGS) {
    for (const end of ENDS) {
      for (const parts of PARTS_OF_EVENTS) {
        await withEntryFixture(
          (_, response) => void answerWith(response, { framing, end, parts }),
          async (fixture) => {
            const answer = await makeCall(fixture);
            const about = `${framing} ${end} ${parts.length}: ${answer}`;
            assert.match(answer, /^(cut|502 .*(answer-|ECONNRESET).*)$/, about);
            assert.equal(fixture.runningCalls, 0);
          },
        );
      }
    }
  }
});

// Guards against a reset that is taken for the end of an answer, whatever the
// answer holds.
test("an answer without a length that is reset is no answer", async () => {
  for (const type of [EVENT_STREAM, "text/plain"]) {
    for (const end of ["reset", "late-reset"] as const) {
      await withEntryFixture(
        (_, response) =>
          void answerWith(response, {
            framing: "connection",
            end,
            parts: [EVENT],
            type,
          }),
        async (fixture) => {
          const answer = await makeCall(fixture);
          assert.match(
            answer,
            /^(cut|502 .*answer-reset.*)$/,
            `${type} ${end}`,
          );
        },
      );
    }
  }
});

// Guards against whole streams that are cut off, as their last bytes are taken
// for part of an event.
test("a stream that ends behind an event is answered, however it is framed", async () => {
  for (const framing of FRAMINGS) {
    for (const parts of WHOLE_EVENTS) {
      await withEntryFixture(
        (_, response) =>
          void answerWith(response, { framing, end: "close", parts }),
        async (fixture) => {
          // The text decoder drops the byte order mark.
          const text = parts.join("").replace("\ufeff", "");
          assert.equal(await makeCall(fixture), `200 ${text}`);
        },
      );
    }
  }
});

// Guards against answers of another type that are judged as event streams.
test("an answer that is no event stream is judged by its framing alone", async () => {
  for (const framing of FRAMINGS) {
    for (const type of ["application/json", "text/plain; charset=utf-8"]) {
      const parts = ["id: 1\ndata: one"];
      await withEntryFixture(
        (_, response) =>
          void answerWith(response, { framing, end: "close", parts, type }),
        async (fixture) => {
          assert.equal(await makeCall(fixture), `200 ${parts[0]}`);
        },
      );
    }
  }
});

// Guards against a cut answer that a caller without chunks takes for complete.
test("an answer that breaks off is reset towards a caller of HTTP/1.0", async () => {
  await withEntryFixture(
    (_, response) =>
      void answerWith(response, {
        framing: "chunks",
        end: "late-reset",
        parts: [EVENT],
      }),
    async (fixture) => {
      const [host, port] = fixture.address.split(":");
      const socket = connect({ host: host!, port: Number(port) });
      let text = "";
      let isReset = false;
      socket.on("data", (bytes) => text += bytes);
      socket.on("error", () => isReset = true);
      // Bytes and a reset that arrive together are read as a regular end.
      socket.prependListener("end", () => {
        isReset ||= socket.remoteAddress === undefined;
      });
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.write(
        "POST /v1/services/portal/run HTTP/1.0\r\nHost: x\r\n" +
          "Teaselrouter-Workspace: desk\r\nContent-Length: 0\r\n\r\n",
      );
      await closed;
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.ok(isReset);
    },
  );
});

// Guards against answers of an engine that are lost, or short, as they end with
// their connection.
test("an engine's answers that end with their connection are whole or refused", async () => {
  await withAgentFixture(true, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    const engine: FakeEngine = fixture.engine;
    engine.framesByConnection = true;
    await fixture.makeCallsFor(200);
    const answered = fixture.answeredCalls;
    assert.ok(answered > 0);
    engine.resetsNextAnswer = true;
    await fixture.makeCall("a call that is reset");
    assert.deepEqual(fixture.refusalReasons, { "answer-reset": 1 });
    assert.equal(fixture.answeredCalls, answered);
    assert.deepEqual(fixture.wrongAnswers, []);
    assert.ok(
      await waitUntil(() => fixture.runningCalls === 0, TIMEOUT_MILLISECONDS),
    );
  });
});
