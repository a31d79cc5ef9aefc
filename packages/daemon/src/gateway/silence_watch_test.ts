import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { SilenceWatch } from "./silence_watch.ts";

// Guards against one silent backend server ending the attempts at others, and
// against aborting attempts that are no longer watched.
test("only silent attempts that can fail over are aborted", () => {
  mock.timers.enable({ apis: ["setInterval"] });
  const watch = new SilenceWatch();
  const aborted: string[] = [];
  const attempt = (name: string, isSilent: boolean, canFailOver: boolean) =>
    watch.watch({
      isSilent: () => isSilent,
      canFailOver: () => canFailOver,
      abort: () => aborted.push(name),
    });
  attempt("silent", true, true);
  attempt("responding", false, true);
  attempt("without alternative", true, false);
  const stopWatching = attempt("unwatched", true, true);
  stopWatching();
  mock.timers.tick(1_000);
  mock.timers.reset();
  assert.deepEqual(aborted, ["silent"]);
});
