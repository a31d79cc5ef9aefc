import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { findRunErrors } from "../harness/find_run_faults.ts";
import { sendRequest } from "./send_request.ts";
import { withSystem } from "./with_system.ts";

const SEED = 3;
const FAULT_INTERVAL_MILLISECONDS = 700;

const LEDGER_LOAD = {
  workspace: "desk",
  seed: SEED,
  deadlineMilliseconds: 3_000,
  streams: [
    { service: "ledger", callsPerSecond: 60, kind: "unrepeatable" as const },
  ],
};

test("killed or frozen processes and silent links never run a call twice", async () => {
  // Guards against a call that runs twice, or runs after it was reported not
  // run. During unrepeatable calls an agent, an entry host and a control host
  // are killed and restarted, another agent is frozen for 2.1 s of its callers'
  // deadline of 3 s, and open connections between data centres go silent.
  // Callers whose outcome is unknown retry through other entry hosts. The
  // services' own records must show each call at most once, and none that was
  // reported as not run.
  await withSystem({ withRelays: true }, async (system) => {
    const { cluster } = system;
    const load = system.startLoad(LEDGER_LOAD);
    await sleep(FAULT_INTERVAL_MILLISECONDS);
    for (const name of ["ledger-1", "van-2", "kel-1"]) {
      cluster.child(name).signal("SIGKILL");
      await cluster.child(name).exited;
      await sleep(FAULT_INTERVAL_MILLISECONDS);
      cluster.start(name);
      await sleep(FAULT_INTERVAL_MILLISECONDS);
    }
    cluster.child("ledger-2").signal("SIGSTOP");
    await sleep(FAULT_INTERVAL_MILLISECONDS * 3);
    cluster.child("ledger-2").signal("SIGCONT");
    cluster.mesh.silenceOpenConnections();
    await sleep(FAULT_INTERVAL_MILLISECONDS * 3);
    const summary = await system.stopLoad(load);
    const recordedBodies = await system.fetchRecordedBodies();
    const { ran, notRun, unknown } = summary.unrepeatable;
    console.log(
      `seed ${SEED}: ${ran.length} ran, ${notRun.length} not run, ` +
        `${unknown.length} unknown, ${recordedBodies.length} on record`,
    );
    assert.deepEqual(findRunErrors(summary, recordedBodies), []);
    assert.equal(summary.services["ledger"]!.wrong, 0);
    assert.ok(ran.length > notRun.length + unknown.length);
  });
});

test("an idempotency key runs one call, and a different body is refused", async () => {
  // Guards against a payment that runs twice, and against an answer to another
  // call: a caller sends the same call through two entry hosts at the same time
  // and through a third one later, then reuses its key for another body through
  // a fourth.
  await withSystem({}, async (system) => {
    const sendPayment = (index: number, body: string) =>
      sendRequest(`${system.cluster.publicUrl(index)}/v1/services/ledger/pay`, {
        headers: {
          "Teaselrouter-Workspace": "desk",
          "Idempotency-Key": "order-1",
        },
        body,
      });
    const [first, second] = await Promise.all([
      sendPayment(0, "two cakes"),
      sendPayment(2, "two cakes"),
    ]);
    assert.equal(first.status, 200);
    assert.equal(second.status, 200);
    assert.equal(first.body, second.body);
    const later = await sendPayment(1, "two cakes");
    assert.equal(later.body, first.body);
    const reused = await sendPayment(3, "three cakes");
    assert.equal(reused.status, 422);
    assert.equal(reused.outcome, "not-run");
    assert.equal(reused.json["field"], "Idempotency-Key");
    assert.deepEqual(await system.fetchRecordedBodies(), ["two cakes"]);
  });
});
