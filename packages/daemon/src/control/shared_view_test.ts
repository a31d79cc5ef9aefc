import { emptyControlState } from "@teaselrouter/core/state/empty_control_state.ts";
import { create } from "@bufbuild/protobuf";
import {
  type EngineLoad,
  EngineLoadSchema,
} from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { pause } from "../transport/pause.ts";
import { SharedView } from "./shared_view.ts";

function openView(): SharedView {
  return new SharedView({
    log: new EventLog("c", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
    dataCentre: "here",
    logState: emptyControlState,
    controlAddresses: () => [],
    isCurrent: () => true,
  });
}

// Pattern: hundreds of agents each see their engine's load change several
// times a second. A follower gets few messages, each with the latest of all.
test("loads of many engines reach followers together, each one's latest", async () => {
  const view = openView();
  const told: EngineLoad[][] = [];
  view.loads$.subscribe((loads) => told.push(loads));
  for (let running = 1; running <= 3; running += 1) {
    for (const engineAddress of ["a", "b"]) {
      view.noteLoad(
        create(EngineLoadSchema, { engineAddress, running, waiting: 0 }),
      );
    }
  }
  await pause(200);
  view.stop();
  assert.equal(told.length, 1);
  assert.deepEqual(
    told[0]!.map(({ engineAddress, running }) => [engineAddress, running]),
    [["a", 3], ["b", 3]],
  );
});
