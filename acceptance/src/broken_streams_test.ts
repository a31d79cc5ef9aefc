import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const EVENTS = 8;
const BREAK_AFTER = 3;
/** The shared retry budget begins with fewer resumptions than that. */
const STREAMS = 4;
const STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
).join("");

const system = new EndToEndSystem({ engines: 2, maxAttempts: 2 });

before(() => system.start());

afterEach(() => {
  for (const engine of system.engines) {
    engine.framesByConnection = false;
    engine.breakEnd = "close";
    engine.breakAfterEvents = [];
  }
});

after(() => system.stop());

// Guards against the part of an event that stands in front of a resumed stream,
// and against a stream that is not resumed, as its framing is complete.
test("a stream that ends with its connection inside an event is resumed", async () => {
  for (const breakEnd of ["close", "reset"] as const) {
    for (let index = 0; index < STREAMS; index += 1) {
      for (const engine of system.engines) {
        engine.framesByConnection = true;
        engine.breakEnd = breakEnd;
        engine.breakAfterEvents = [BREAK_AFTER];
      }
      const id = `resumed-${breakEnd}-${index}`;
      const text = await system.stream(id).then(
        (answer) => answer.text,
        () => "cut",
      );
      const sends = system.engines.flatMap(({ ranRequestIds }) => ranRequestIds)
        .filter((ran) => ran === id);
      assert.equal(sends.length, 2, "it was sent to the other engine");
      // That one breaks off behind the same event.
      assert.equal(text, "cut", id);
    }
    for (const engine of system.engines) engine.breakAfterEvents = [];
    const [first] = system.engines;
    first!.breakAfterEvents = [BREAK_AFTER];
    while (first!.breakAfterEvents.length > 0) {
      assert.equal((await system.stream(`whole-${breakEnd}`)).text, STREAM);
    }
  }
});

// Guards against sound answers without a length that are cut off or repeated.
test("answers that end with their connection are whole", async () => {
  for (const server of [...system.engines, system.plainServer]) {
    server.framesByConnection = true;
  }
  for (let index = 0; index < STREAMS; index += 1) {
    assert.equal((await system.stream(`sound-${index}`)).text, STREAM);
  }
  const plain = await system.sendRequest("/pay/", {
    id: "paid",
    method: "POST",
    body: "one seat",
  });
  assert.equal(plain.text, "POST /pay/ tenant-1 one seat");
  system.plainServer.framesByConnection = false;
  assert.deepEqual(system.plainServer.ranRequestIds, ["paid"]);
});
