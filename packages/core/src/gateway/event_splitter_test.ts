import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { EventSplitter } from "./event_splitter.ts";

test("complete events are returned however the bytes are split", () => {
  const text = Array.from(
    { length: 30 },
    (_, id) => `id: ${id}\ndata: ${"x".repeat(id % 7)}\n\n`,
  ).join("");
  const random = createSeededRandom(3);
  for (let round = 0; round < 200; round += 1) {
    const splitter = new EventSplitter();
    let seen = "";
    let lastId: string | undefined;
    for (let at = 0; at < text.length;) {
      const size = 1 + Math.floor(random() * 40);
      const whole = splitter.push(Buffer.from(text.slice(at, at + size)));
      at += size;
      seen += whole.bytes.toString();
      lastId = whole.lastId ?? lastId;
      assert.ok(seen === "" || seen.endsWith("\n\n"));
      assert.equal(
        lastId ?? "none",
        seen.match(/id: (\d+)/g)?.at(-1)?.slice(4) ?? "none",
      );
    }
    assert.equal(seen, text);
  }
});

test("the bytes of an incomplete event are kept back", () => {
  const splitter = new EventSplitter();
  const whole = splitter.push(Buffer.from("id: 4\ndata: a\n\nid: 5\nda"));
  assert.equal(whole.bytes.toString(), "id: 4\ndata: a\n\n");
  assert.equal(whole.lastId, "4");
  assert.equal(splitter.incompleteBytes.toString(), "id: 5\nda");
});

// Guards against ids that can't be sent in a header.
test("an id ends before CRLF", () => {
  const { lastId } = new EventSplitter().push(
    Buffer.from("id: 1\n\nid: 2\r\ndata: x\n\n"),
  );
  assert.equal(lastId, "2");
});

// Guards against streams with other line ends that are held back to their end,
// and can't be resumed.
test("events are complete with each kind of line end, however they are split", () => {
  for (const end of ["\r\n", "\r"]) {
    const text = [1, 2, 3].map((id) => `id: ${id}${end}data: x${end}${end}`)
      .join("");
    for (let at = 1; at < text.length; at += 1) {
      const splitter = new EventSplitter();
      const first = splitter.push(Buffer.from(text.slice(0, at)));
      const second = splitter.push(Buffer.from(text.slice(at)));
      assert.equal(`${first.bytes}${second.bytes}`, text);
      const ids = `${first.bytes}`.match(/id: \d/g) ?? [];
      assert.equal(first.lastId, ids.at(-1)?.slice(4));
      assert.equal(second.lastId ?? first.lastId, "3");
      assert.equal(splitter.incompleteBytes.length, 0);
    }
  }
});

test("comments behind the last event are kept back up to an empty line", () => {
  const splitter = new EventSplitter();
  const whole = splitter.push(Buffer.from("id: 4\n\n: waits\n"));
  assert.equal(whole.bytes.toString(), "id: 4\n\n");
  assert.equal(splitter.incompleteBytes.toString(), ": waits\n");
});
