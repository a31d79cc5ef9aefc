import assert from "node:assert/strict";
import { mock, test } from "node:test";
import process from "node:process";
import { EventLog } from "./event_log.ts";

test("an event is one line of key=value pairs, and on the time line", () => {
  const lines: string[] = [];
  const write = mock.method(process.stderr, "write", (text: string) => {
    lines.push(text);
    return true;
  });
  const log = new EventLog("van-1", "info");
  log.debug("quiet");
  log.info("weights-live", { version: "drafter@1", reason: 'not "that"' });
  write.mock.restore();
  assert.equal(lines.length, 1);
  assert.match(
    lines[0]!,
    /^time=\S+ level=info process=van-1 event=weights-live version=drafter@1 reason="not \\"that\\""\n$/,
  );
  assert.equal(log.ring.since(0)[0]!.kind, "weights-live");
});
