import { emptyControlState } from "@teaselrouter/core/state/empty_control_state.ts";
import { create } from "@bufbuild/protobuf";
import {
  type EngineLoad,
  EngineLoadSchema,
  type EngineNotice,
  EngineNoticeSchema,
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

// Pattern: each agent tells its load to one control host only. A follower of
// any other must hear it too, and no load may go round among control hosts.
test("loads heard by another control host reach followers, and go no further", async () => {
  const view = openView();
  const told: string[][] = [];
  const toldHere: string[][] = [];
  const names = (loads: EngineLoad[]) =>
    loads.map(({ engineAddress }) => engineAddress);
  view.loads$.subscribe((loads) => told.push(names(loads)));
  view.loadsHere$.subscribe((loads) => toldHere.push(names(loads)));
  const load = (engineAddress: string) =>
    create(EngineLoadSchema, { engineAddress, running: 1, waiting: 0 });
  view.noteLoad(load("near"));
  view.learnLoads([load("far")]);
  await pause(200);
  view.learnLoads([load("far")]);
  await pause(200);
  view.stop();
  assert.deepEqual(told, [["near", "far"], ["far"]]);
  assert.deepEqual(toldHere, [["near"]]);
});

// A stager that opened a new stream ends its old one, which says "gone" behind
// it: taken for the latest word, the engine would look as if it had no stager.
test("the end of a stager's earlier session is not taken for its last word", async () => {
  const view = openView();
  const told: EngineNotice[][] = [];
  view.engines$.subscribe((notices) => told.push(notices));
  const notice = (sequence: number, agentGone: boolean) =>
    create(EngineNoticeSchema, { engineAddress: "a", sequence, agentGone });
  view.notice(notice(1, false));
  view.notice(notice(2, false));
  view.notice(notice(1, true));
  await pause(100);
  assert.deepEqual(told.map(([first]) => first?.sequence), [2]);
  assert.equal(view.engineNotices()[0]?.agentGone, false);
  view.notice(notice(2, true));
  view.notice(notice(1, false));
  await pause(100);
  view.stop();
  assert.equal(view.engineNotices()[0]?.agentGone, false);
});
