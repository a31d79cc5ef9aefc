import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { SilenceWatch } from "./silence_watch.ts";

// Guards against one silent backend server ending the attempts at others, and
// against attempts that were left being given up later.
test("only attempts that are silent and may go elsewhere are given up", () => {
  mock.timers.enable({ apis: ["setInterval"] });
  const watch = new SilenceWatch();
  const givenUp: string[] = [];
  const attempt = (name: string, isSilent: boolean, mayGoElsewhere: boolean) =>
    watch.watch({
      isSilent: () => isSilent,
      mayGoElsewhere: () => mayGoElsewhere,
      giveUp: () => givenUp.push(name),
    });
  attempt("silent", true, true);
  attempt("heard", false, true);
  attempt("bound", true, false);
  const endLeft = attempt("left", true, true);
  endLeft();
  mock.timers.tick(1_000);
  mock.timers.reset();
  assert.deepEqual(givenUp, ["silent"]);
});
