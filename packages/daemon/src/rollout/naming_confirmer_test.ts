import { NamedVersions } from "@teaselrouter/core/rollout/named_versions.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { pause } from "../transport/pause.ts";
import { NamingConfirmer } from "./naming_confirmer.ts";

const log = new EventLog("g", "error", undefined, {
  write: () => undefined,
  flush: () => Promise.resolve(),
});

test("an answer that waits on its way makes the naming no later", async () => {
  // Guards against requests begun on old weights behind their end.
  const named = new NamedVersions();
  const namedAt = monotonicMilliseconds();
  const ask = async () => {
    const ageMilliseconds = monotonicMilliseconds() - namedAt;
    await pause(80);
    return { confirmed: true, ageMilliseconds };
  };
  await new NamingConfirmer({ named, ask, log }).confirm("m", 2);
  assert.ok(named.namedAt("m", 2)! <= namedAt);
  assert.equal(named.isConfirmed("m", 2), true);
});

test("one that only heard of it is asked again, and one that is gone", async () => {
  const named = new NamedVersions();
  let asked = 0;
  const ask = () => {
    asked += 1;
    if (asked === 1) return Promise.reject(new Error("gone"));
    return Promise.resolve({ confirmed: asked > 2, ageMilliseconds: 5 });
  };
  await new NamingConfirmer({ named, ask, log }).confirm("m", 2);
  assert.equal(asked, 3);
  assert.equal(named.isConfirmed("m", 2), true);
});
