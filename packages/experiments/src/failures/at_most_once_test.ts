import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { findRunFaults } from "../harness/find_run_faults.ts";
import { ask } from "./ask.ts";
import { withSystem } from "./with_system.ts";

const SEED = 3;
const BETWEEN_MILLISECONDS = 700;

const LEDGER_LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 3_000,
  streams: [
    { service: "ledger", callsPerSecond: 60, kind: "unrepeatable" as const },
  ],
};

test("kills, freezes and silent links never run a call twice", async () => {
  // Story: while calls that may not be repeated flow, an agent, an entry
  // host and a control host are killed, another agent is frozen past its
  // callers' patience, and open links go silent. Callers whose outcome is
  // unknown ask again through other entry hosts. The services' own records
  // must show each call at most once, and none that was reported not run.
  await withSystem({ withRelays: true }, async (system) => {
    const { cluster } = system;
    const load = system.startLoad(LEDGER_LOAD);
    await pause(BETWEEN_MILLISECONDS);
    for (const name of ["ledger-1", "van-2", "kel-1"]) {
      cluster.child(name).signal("SIGKILL");
      await cluster.child(name).exited;
      await pause(BETWEEN_MILLISECONDS);
      cluster.start(name);
      await pause(BETWEEN_MILLISECONDS);
    }
    cluster.child("ledger-2").signal("SIGSTOP");
    await pause(BETWEEN_MILLISECONDS * 3);
    cluster.child("ledger-2").signal("SIGCONT");
    cluster.mesh.silenceOld();
    await pause(BETWEEN_MILLISECONDS * 3);
    const summary = await system.endLoad(load);
    const record = await system.record();
    const { ran, notRun, unknown } = summary.unrepeatable;
    console.log(
      `seed ${SEED}: ${ran.length} ran, ${notRun.length} not run, ` +
        `${unknown.length} unknown, ${record.length} on record`,
    );
    assert.deepEqual(findRunFaults(summary, record), []);
    assert.equal(summary.services["ledger"]!.wrong, 0);
    assert.ok(ran.length > notRun.length + unknown.length);
  });
});

test("one key: two at once, again later, and with another body", async () => {
  // Story: a shop's till sends an order twice at once through two entry
  // hosts, asks again later, and a clerk reuses the key for another order.
  await withSystem({}, async (system) => {
    const pay = (index: number, body: string) =>
      ask(`${system.cluster.publicUrl(index)}/v1/services/ledger/pay`, {
        headers: {
          "Teaselrouter-Workspace": "desk",
          "Idempotency-Key": "order-1",
        },
        body,
      });
    const [first, second] = await Promise.all([
      pay(0, "two cakes"),
      pay(2, "two cakes"),
    ]);
    assert.equal(first.status, 200);
    assert.equal(second.status, 200);
    assert.equal(first.body, second.body);
    const later = await pay(1, "two cakes");
    assert.equal(later.body, first.body);
    const reused = await pay(3, "three cakes");
    assert.equal(reused.status, 422);
    assert.equal(reused.outcome, "not-run");
    assert.equal(reused.json["field"], "Idempotency-Key");
    assert.deepEqual(await system.record(), ["two cakes"]);
  });
});
