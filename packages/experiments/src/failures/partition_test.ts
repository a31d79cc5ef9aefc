import assert from "node:assert/strict";
import { test } from "node:test";
import { fetchStatus } from "../harness/fetch_status.ts";
import type { RunningSystem } from "../harness/running_system.ts";
import { waitUntil } from "../harness/wait_until.ts";
import { sendRequest } from "./send_request.ts";
import { withSystem } from "./with_system.ts";

const TIMEOUT_MILLISECONDS = 15_000;
const DESK_HEADERS = { "Teaselrouter-Workspace": "desk" };

/** Returns the exit status of the operators' client: 0 if it succeeded. */
async function changeRate(
  system: RunningSystem,
  name: string,
  rate: string,
): Promise<number | null> {
  const args = ["contract", "change", "desk", "--rate", rate];
  return (await system.runClientAt(name, args)).exitStatus;
}

/** Returns false if the entry host still has its lease after 15 s. */
async function waitForLeaseLoss(
  system: RunningSystem,
  name: string,
): Promise<boolean> {
  const entry = system.entryUrl(name);
  return await waitUntil(
    async () => (await fetchStatus(entry))?.has_lease === false,
    TIMEOUT_MILLISECONDS,
  );
}

test("a partitioned data centre refuses changes, serves model calls, and catches up", async () => {
  // Guards against a split brain: a switch drops all packets between one data
  // centre and the rest. That data centre's entry host must refuse changes and
  // unrepeatable calls, run none of them, and still answer model calls from its
  // own engine. The other data centres keep accepting changes. Once the
  // partition heals, every accepted change must still be there.
  await withSystem({ withRelays: true }, async (system) => {
    await system.measureSpread("1", 3);
    const partitionedUrl = system.entryUrl("pgr-1");
    system.cluster.mesh.cutOff("pgr", "silent");
    assert.ok(
      await waitForLeaseLoss(system, "pgr-1"),
      "the entry host kept its lease",
    );

    assert.equal(await changeRate(system, "pgr-1", "999"), 1);
    const claim = await sendRequest(
      `${partitionedUrl}/v1/services/ledger/pay`,
      {
        headers: { ...DESK_HEADERS, "Idempotency-Key": "cut-1" },
        body: "pay once",
      },
    );
    assert.equal(claim.status, 503);
    // This host can't know whether a call under this key ran through another
    // entry host before the partition, so it doesn't report "not-run".
    assert.equal(claim.outcome, "unknown");
    assert.ok(Number(claim.retryAfter) >= 1);
    const model = await sendRequest(
      `${partitionedUrl}/v1/services/drafter/write`,
      {
        headers: DESK_HEADERS,
        body: "a summary",
      },
    );
    assert.equal(model.status, 200);
    assert.equal(model.weights, "drafter@1");

    assert.ok(
      await waitUntil(
        async () => await changeRate(system, "van-1", "350") === 0,
        TIMEOUT_MILLISECONDS,
      ),
    );
    assert.equal(await system.fetchContractRate("pgr-1", "desk"), 400);
    system.cluster.mesh.heal();
    const caughtUp = await waitUntil(
      async () => await system.fetchContractRate("pgr-1", "desk") === 350,
      TIMEOUT_MILLISECONDS,
    );
    assert.ok(caughtUp, "the partitioned host did not catch up");
    assert.equal(await system.fetchContractRate("van-1", "desk"), 350);
    assert.ok(
      (await system.fetchRecordedBodies()).every((body) => body !== "pay once"),
    );
  });
});

test("a one-way partition and a flapping link lose no accepted change", async () => {
  // Guards against the loss of accepted changes: a data centre can't open
  // connections to the others, while the others can open connections to it;
  // then its link fails and recovers repeatedly. Each change whose command
  // succeeded must be kept.
  await withSystem({ withRelays: true }, async (system) => {
    const { mesh } = system.cluster;
    mesh.cutOutgoing("kel");
    let accepted = 400;
    for (let round = 1; round <= 6; round += 1) {
      if (round > 2) {
        if (round % 2 === 0) mesh.heal();
        else mesh.cutOff("kel", "cut");
      }
      const rate = 300 + round;
      if (await changeRate(system, "van-1", String(rate)) === 0) {
        accepted = rate;
      }
    }
    mesh.heal();
    for (const name of ["van-1", "kel-1", "pgr-1", "van-2"]) {
      const hasChange = await waitUntil(
        async () =>
          (await system.fetchContractRate(name, "desk") ?? 0) >= accepted,
        TIMEOUT_MILLISECONDS,
      );
      assert.ok(hasChange, `${name} lacks an accepted change`);
    }
  });
});
