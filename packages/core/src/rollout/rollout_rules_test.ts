import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadPermits } from "./load_permits.ts";
import { NamedVersions } from "./named_versions.ts";
import { weightsMargins } from "./weights_margins.ts";
import { weightsUnusedAt } from "./weights_unused_at.ts";

test("each named version has its own deadline", () => {
  // Version 3 is named two seconds after version 2. This must not postpone the
  // time from which version 1 is too old.
  const named = new NamedVersions();
  assert.equal(named.add("m", { version: 2, namedAt: 18_000 }), true);
  assert.equal(named.add("m", { version: 3, namedAt: 20_000 }), true);
  assert.equal(named.add("m", { version: 2, namedAt: 26_000 }), false);
  assert.equal(named.latest("m"), 3);
  assert.equal(named.supersededAt("m", 1), 18_000);
  assert.equal(named.supersededAt("m", 2), 20_000);
  assert.equal(named.supersededAt("m", 3), Infinity);
});

test("most engines of a data centre serve while others load", () => {
  const permits = new LoadPermits({
    maxLoadingShare: 0.4,
    permitTimeoutMilliseconds: 8_000,
  });
  const view = { hosts: 5, wasServing: true, now: 0 };
  assert.equal(permits.tryAcquire("a", view), true);
  assert.equal(permits.tryAcquire("b", view), true);
  assert.equal(permits.tryAcquire("c", view), false);
  assert.equal(permits.tryAcquire("a", view), true);
  assert.equal(
    permits.tryAcquire("empty", { ...view, wasServing: false }),
    true,
  );
  permits.release("a");
  assert.equal(permits.tryAcquire("c", view), true);
});

test("a permit that is not released expires", () => {
  const permits = new LoadPermits({
    maxLoadingShare: 0.4,
    permitTimeoutMilliseconds: 8_000,
  });
  const view = { hosts: 2, wasServing: true, now: 0 };
  assert.equal(permits.tryAcquire("a", view), true);
  assert.equal(permits.tryAcquire("b", { ...view, now: 7_000 }), false);
  assert.equal(permits.tryAcquire("b", { ...view, now: 8_001 }), true);
});

// One of six control hosts was slow and learned of a version 0.7 s late. A
// gateway that this host informed counted from then, and let a request begin on
// the old weights 345 ms after the time from which none may.
test("no request begins on old weights too late, though a naming is delayed", () => {
  const boundMilliseconds = 8_000;
  const actualDelayMilliseconds = 695;
  const named = new NamedVersions();
  named.add("m", { version: 2, namedAt: actualDelayMilliseconds });
  const lastUseAt = named.supersededAt("m", 1) + boundMilliseconds -
    weightsMargins.namingDelayMilliseconds;
  assert.ok(lastUseAt <= boundMilliseconds, `${lastUseAt}`);
});

test("an engine needs no permit once gateways stop using its weights", () => {
  // Guards against engines that wait idle for a permit, and against engines
  // that stop serving while gateways still send requests to their weights.
  const { namingDelayMilliseconds, requestStartMilliseconds } = weightsMargins;
  const lastSent = 8_000 - namingDelayMilliseconds - requestStartMilliseconds;
  assert.equal(weightsUnusedAt(18_000, 8_000), 18_000 + lastSent);
});
