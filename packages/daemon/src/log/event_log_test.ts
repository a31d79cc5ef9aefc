import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "./event_log.ts";

test("an event is one line of key=value pairs and a timeline entry", () => {
  const lines: string[] = [];
  const log = new EventLog("van-1", "info", undefined, {
    write: (line) => lines.push(line),
    flush: () => Promise.resolve(),
  });
  log.debug("engine-silent");
  log.info("weights-live", { version: "drafter@1", reason: 'not "that"' });
  assert.equal(lines.length, 1);
  assert.match(
    lines[0]!,
    /^time=\S+ level=info process=van-1 event=weights-live version=drafter@1 reason="not \\"that\\""\n$/,
  );
  assert.equal(log.timeline.eventsSince(0)[0]!.kind, "weights-live");
});
