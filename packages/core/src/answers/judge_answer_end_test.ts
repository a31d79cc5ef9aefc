import assert from "node:assert/strict";
import { test } from "node:test";
import { findAnswerFraming } from "./find_answer_framing.ts";
import { isEventStream } from "./is_event_stream.ts";
import { judgeAnswerEnd } from "./judge_answer_end.ts";

const FRAMINGS = ["no-body", "length", "chunks", "connection"] as const;
const WHOLE = {
  isFramingComplete: true,
  hasConnectionFailed: false,
  isInsideEvent: false,
};

// Guards against answers of crashing servers that pass for whole, as their
// framing is complete.
test("an answer is whole if its framing, connection and events are", () => {
  for (const framing of FRAMINGS) {
    const judge = (ended: Partial<typeof WHOLE>) =>
      judgeAnswerEnd({ framing, ...WHOLE, ...ended });
    assert.equal(judge({}), "whole");
    assert.equal(judge({ isInsideEvent: true }), "inside-event");
    assert.equal(judge({ isFramingComplete: false }), "cut-short");
    assert.equal(
      judge({ isFramingComplete: false, hasConnectionFailed: true }),
      "reset",
    );
  }
});

// Guards against whole answers that are given up, as their connection is reset
// behind them.
test("a reset spoils only an answer that ends with its connection", () => {
  for (const framing of FRAMINGS) {
    assert.equal(
      judgeAnswerEnd({ ...WHOLE, framing, hasConnectionFailed: true }),
      framing === "connection" ? "reset" : "whole",
    );
  }
});

test("the framing follows from method, status and headers", () => {
  const head = {
    method: "POST",
    status: 200,
    transferEncoding: undefined,
    contentLength: undefined,
  };
  const find = (changed: Partial<Parameters<typeof findAnswerFraming>[0]>) =>
    findAnswerFraming({ ...head, ...changed });
  assert.equal(find({}), "connection");
  assert.equal(find({ contentLength: "0" }), "length");
  assert.equal(find({ transferEncoding: "chunked" }), "chunks");
  assert.equal(find({ transferEncoding: "gzip, Chunked" }), "chunks");
  assert.equal(find({ transferEncoding: "gzip" }), "connection");
  assert.equal(find({ method: "HEAD", contentLength: "9" }), "no-body");
  assert.equal(find({ status: 204 }), "no-body");
  assert.equal(find({ status: 304, transferEncoding: "chunked" }), "no-body");
});

// Guards against answers of other types, or encoded ones, that are read as
// events.
test("events are what the type says, or is expected where there is none", () => {
  for (const isExpected of [true, false]) {
    const has = (contentType?: string, contentEncoding?: string) =>
      isEventStream({ contentType, contentEncoding, isExpected });
    assert.ok(has("text/event-stream"));
    assert.ok(has("Text/Event-Stream; charset=utf-8"));
    assert.ok(has("text/event-stream", "identity"));
    assert.ok(!has("application/json"));
    assert.ok(!has("text/event-stream", "gzip"));
    assert.ok(!has(undefined, "gzip"));
    assert.equal(has(), isExpected);
  }
});
