import { ListeningTime } from "@teaselrouter/core/gateway/listening_time.ts";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { SilenceWatch } from "./silence_watch.ts";

// Guards against one silent backend server ending the attempts at others, and
// against decisions about attempts that are no longer watched.
test("only silent attempts that are watched are reported", async () => {
  mock.timers.enable({ apis: ["setInterval"] });
  const watch = new SilenceWatch(new ListeningTime());
  const reported: string[] = [];
  const stops = new Map<string, () => void>();
  const attempt = (name: string, isSilent: boolean) =>
    stops.set(
      name,
      watch.watch({
        isSilent: () => isSilent,
        onSilence: () => {
          reported.push(name);
          stops.get("stopped by the first")!();
        },
      }),
    );
  attempt("silent", true);
  attempt("responding", false);
  attempt("stopped by the first", true);
  attempt("unwatched", true);
  stops.get("unwatched")!();
  mock.timers.tick(200);
  await setImmediate();
  mock.timers.reset();
  assert.deepEqual(reported, ["silent"]);
});

// Guards against a host that stood still taking the data that waited for it
// meanwhile for silence.
test("what arrived before a check is read before silence is judged", async () => {
  mock.timers.enable({ apis: ["setInterval"] });
  const watch = new SilenceWatch(new ListeningTime());
  let isSilent = true;
  let reports = 0;
  watch.watch({
    isSilent: () => isSilent,
    onSilence: () => {
      reports += 1;
    },
  });
  mock.timers.tick(200);
  isSilent = false;
  await setImmediate();
  mock.timers.reset();
  assert.equal(reports, 0);
});
