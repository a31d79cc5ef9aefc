import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { EndToEndSystem } from "./end_to_end_system.ts";

const ENGINES = 4;
const ROUTE_TIMEOUT_MILLISECONDS = 8_000;

/** Four engines, of which a request may be sent to three, and one gateway. */
const system = new EndToEndSystem({
  engines: ENGINES,
  routeTimeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
  maxAttempts: 3,
});

before(() => system.start());

afterEach(() => {
  for (const engine of system.engines) {
    engine.isFrozen = false;
    engine.failureStatus = undefined;
    engine.resumeFailureStatus = undefined;
    engine.breakAfterEvents = [];
  }
});

after(() => system.stop());

for (const status of [404, 500]) {
  // Guards against the body of a failure that ends a stream as if it were whole.
  test(`a stream that is resumed with ${status} doesn't end as complete`, async () => {
    for (const engine of system.engines) {
      engine.breakAfterEvents = [3];
      engine.resumeFailureStatus = status;
    }
    const outcome = await system.stream(`resumed-${status}`).then(
      ({ text }) => text,
      () => "cut",
    );
    assert.equal(outcome, "cut");
  });
}
