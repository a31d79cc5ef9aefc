import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import type { SpreadObjective } from "@teaselrouter/core/spread/spread_objective.ts";
import { PeerExchangePolicy } from "@teaselrouter/core/spread/peer_exchange_policy.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FluidSpreadModel } from "./fluid_spread_model.ts";
import { computeSpreadBounds } from "./compute_spread_bounds.ts";

const SEED = 9;
const CHUNKS = 96;
const MAX_TIME = 10;
const TRANSFER_TIMEOUT = 0.05;
const NETWORK = {
  dataCentres: 3,
  hostBandwidth: 2,
  originBandwidth: 4,
  regionBandwidth: 1.1,
};

type OnStep = (model: FluidSpreadModel, time: number) => void;

function createModel(
  hosts: number,
  objective: SpreadObjective,
  onStep?: OnStep,
): FluidSpreadModel {
  return new FluidSpreadModel({
    ...NETWORK,
    hosts,
    chunks: CHUNKS,
    policyFor: (dataCentre) => {
      return new PeerExchangePolicy({
        objective,
        random: createSeededRandom(SEED + Number(dataCentre.slice(2))),
        ranking: new RarestRanking(),
        ...defaultSpreadOptions,
      });
    },
    ...(onStep === undefined ? {} : { onStep }),
  });
}

/** Runs `act` once, when the hosts hold half of the weights on average. */
function actHalfway(
  act: (model: FluidSpreadModel) => void,
  then?: OnStep,
): OnStep {
  let hasActed = false;
  return (model, time) => {
    if (!hasActed && model.progress >= 0.5) {
      hasActed = true;
      act(model);
    }
    then?.(model, time);
  };
}

test("with the objective time, all hosts complete within 1.25 x the lower bound", () => {
  console.log(`seed ${SEED}`);
  for (const hosts of [24, 90, 180, 360]) {
    const { time } = createModel(hosts, "time").run(MAX_TIME);
    const bounds = Object.values(computeSpreadBounds({ ...NETWORK, hosts }));
    // With the objective "time", the region link does not have to carry a data
    // centre's whole share of remote chunks, so its bound does not apply.
    const lowerBound = Math.max(bounds[0]!, bounds[1]!, bounds[2]!, bounds[4]!);
    console.log(
      `N=${hosts}: ${(time / lowerBound).toFixed(2)} x the lower bound`,
    );
    assert.ok(time <= 1.25 * lowerBound, `N=${hosts} took ${time}`);
  }
});

test("with the objective origin bytes, each chunk is fetched and crosses once", () => {
  for (const hosts of [24, 180]) {
    const result = createModel(hosts, "origin-bytes").run(MAX_TIME);
    assert.ok(result.time < MAX_TIME);
    assert.ok(result.originCopies <= 1.05, `${result.originCopies} copies`);
    assert.ok(
      result.maxInboundCopies <= 1.05,
      `${result.maxInboundCopies} crossed`,
    );
  }
});

test("the other hosts complete after a quarter fails halfway", () => {
  // In the middle of a spread every fourth host fails, as when a rack loses
  // power, with all chunks that it holds and is sending. All other hosts must
  // still receive every chunk.
  const model = createModel(
    48,
    "time",
    actHalfway((spread) => {
      for (let host = 0; host < 48; host += 4) spread.removeHost(`h${host}`);
    }),
  );
  const { time } = model.run(MAX_TIME);
  console.log(`a quarter of the hosts fails: ${time.toFixed(3)}`);
  assert.ok(time < MAX_TIME);
});

test("stalled transfers time out and their sources are avoided", () => {
  // Some hosts stop sending but keep their connections open. Agents end such
  // fetches by a timeout, and the planner must choose other sources.
  let lastTimeoutAt = 0;
  const model = createModel(
    48,
    "time",
    actHalfway(
      (spread) => {
        for (const host of ["h3", "h7", "h10", "h14"]) spread.stalled.add(host);
      },
      (spread, time) => {
        if (time - lastTimeoutAt < TRANSFER_TIMEOUT) return;
        lastTimeoutAt = time;
        spread.failBlockedTransfers(time + MAX_TIME);
      },
    ),
  );
  assert.ok(model.run(MAX_TIME).time < MAX_TIME);
});

test("a new coordinator continues from the agents' reports", () => {
  // Guards against fetching chunks from the origin a second time: a data
  // centre's coordinator fails in the middle of a spread, and its successor
  // knows only which chunks the hosts hold.
  const model = createModel(
    48,
    "origin-bytes",
    actHalfway((spread) => spread.replaceCoordinator("dc1")),
  );
  const result = model.run(MAX_TIME);
  assert.ok(result.time < MAX_TIME);
  // Chunks in transfer are fetched again; chunks held already are not.
  assert.ok(result.originCopies <= 1.1, `${result.originCopies} copies`);
});

test("without the origin, chunks that hosts hold still spread", () => {
  // The origin is down from the middle of a spread until later. Meanwhile the
  // chunks that some host holds must spread to the others; once the origin is
  // back, the remaining chunks must follow.
  let stepsWithoutOrigin = 0;
  let progressBefore = 0;
  let gained = 0;
  const model = createModel(
    48,
    "time",
    actHalfway(
      (spread) => {
        spread.isOriginDown = true;
        progressBefore = spread.progress;
      },
      (spread) => {
        if (!spread.isOriginDown) return;
        stepsWithoutOrigin += 1;
        gained = spread.progress - progressBefore;
        if (stepsWithoutOrigin > 200) spread.isOriginDown = false;
      },
    ),
  );
  assert.ok(model.run(MAX_TIME).time < MAX_TIME);
  console.log(`gained ${gained.toFixed(2)} of the weights without the origin`);
  assert.ok(gained > 0.05);
});

test("a data centre cut off halfway completes after it is reconnected", () => {
  // Guards against a spread that never ends in a data centre that was
  // disconnected from the origin and from all others for a while: the transfers
  // into it time out and must be planned again.
  let isolatedSteps = 0;
  let lastTimeoutAt = 0;
  const model = createModel(
    48,
    "origin-bytes",
    actHalfway(
      (spread) => spread.cutOff.add("dc2"),
      (spread, time) => {
        if (spread.cutOff.size > 0) isolatedSteps += 1;
        if (isolatedSteps > 150) spread.cutOff.clear();
        if (time - lastTimeoutAt < TRANSFER_TIMEOUT) return;
        lastTimeoutAt = time;
        spread.failBlockedTransfers(time + TRANSFER_TIMEOUT);
      },
    ),
  );
  assert.ok(model.run(MAX_TIME).time < MAX_TIME);
});
