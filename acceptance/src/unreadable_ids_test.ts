import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";

const EVENTS = 16;
const SILENCE_MILLISECONDS = 1_500;

/** Two engines with long streams, and one gateway. */
const system = new EndToEndSystem({ routeTimeoutMilliseconds: 8_000 });

before(async () => {
  await system.start();
  for (const engine of system.engines) {
    engine.streamEvents = EVENTS;
    engine.eventIntervalMilliseconds = 100;
  }
});

after(() => system.stop());

for (const [name, idLineEnd] of [["\\r\\n", "\r\n"], ["\\x01", "\x01\n"]]) {
  // Guards against a gateway that ends, with all that it serves, when it resumes
  // a stream after an event whose id can't be sent in a header.
  test(`silence after an id that ends with ${name} costs no answer`, async () => {
    const [silent] = system.engines;
    for (const engine of system.engines) engine.idLineEnd = idLineEnd!;
    const streams = Array.from(
      { length: 6 },
      (_, index) => system.stream(`${name}-${index}`),
    );
    await sleep(400);
    silent!.fallSilent(SILENCE_MILLISECONDS);
    const outcomes = await Promise.allSettled(streams);
    const texts = outcomes.map((outcome) =>
      outcome.status === "fulfilled" ? outcome.value.text : "cut"
    );
    const whole = Array.from(
      { length: EVENTS },
      (_, index) => `id: ${index + 1}${idLineEnd}data: t${index + 1}\n\n`,
    ).join("");
    assert.ok(texts.every((text) => text === whole), texts.join("|"));
    assert.equal(await system.isReady(), true);
  });
}
