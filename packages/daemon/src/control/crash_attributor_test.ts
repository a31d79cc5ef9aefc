import { CrashNewsSchema } from "@teaselrouter/messages/follow.ts";
import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { CrashAttributor } from "./crash_attributor.ts";

function openAttributor() {
  const attributor = new CrashAttributor({
    log: new EventLog("control", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
  });
  const told: string[] = [];
  attributor.suspicionNews$.subscribe(({ reports }) =>
    told.push(
      ...reports.map(({ fingerprint, incarnation }) =>
        `${fingerprint} ${incarnation}`
      ),
    )
  );
  return { attributor, told };
}

function newsOf(fingerprint: string, incarnation: string) {
  return create(CrashNewsSchema, {
    reports: [{ fingerprint, incarnation, begunMilliseconds: 10 }],
  });
}

// Guards against gateways that each retry what has crashed two backend servers
// at other gateways.
test("a request at two crashes is told to gateways once", () => {
  const { attributor, told } = openAttributor();
  attributor.addLocalNews(newsOf("one", "a"));
  assert.deepEqual(told, []);
  attributor.addRemoteNews(newsOf("one", "b"));
  attributor.addRemoteNews(newsOf("one", "b"));
  assert.deepEqual(told, ["one a", "one b"]);
  attributor.stop();
});

// Guards against gateways that followed this host before it knew its log again,
// as after a power loss, and are never told whom it suspects.
test("gateways that follow already are told of restored suspicions", () => {
  const { attributor, told } = openAttributor();
  attributor.restoreSuspicions([
    { fingerprint: "one", incarnations: ["a", "b"] },
  ]);
  assert.deepEqual(told, ["one a", "one b"]);
  attributor.stop();
});
