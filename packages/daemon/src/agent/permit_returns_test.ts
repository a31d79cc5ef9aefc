import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { PermitReturns } from "./permit_returns.ts";

const SECOND_MILLISECONDS = 1_000;

// Guards against a permit that holds up other backend servers until its end, as
// the message that it is free was lost.
test("the return of a permit is told until it is confirmed", () => {
  mock.timers.enable({ apis: ["setInterval"] });
  try {
    const told: number[] = [];
    const returns = new PermitReturns(({ fencingToken }) =>
      told.push(fencingToken)
    );
    returns.add({ version: "drafter@2", fencingToken: 7, loaded: true });
    returns.add({ version: "drafter@2", fencingToken: 9, loaded: false });
    mock.timers.tick(SECOND_MILLISECONDS);
    assert.deepEqual(told, [7, 9, 7, 9]);
    returns.confirm(7);
    mock.timers.tick(SECOND_MILLISECONDS);
    assert.deepEqual(told, [7, 9, 7, 9, 9]);
    mock.timers.tick(300 * SECOND_MILLISECONDS);
    assert.ok(told.length <= 65, "it ends with the permit");
    returns.stop();
  } finally {
    mock.timers.reset();
  }
});
