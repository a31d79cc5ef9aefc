import assert from "node:assert/strict";
import { test } from "node:test";
import { findHarmFaults } from "./find_harm_faults.ts";
import type { Harm } from "./harm.ts";

const CONTACT_MILLISECONDS = 3_000;
const DECISIVE_ENDS = { request: 3, part: 5 };

/** A harm that ended servers each 100 ms and then arrived at these times. */
function play(
  harm: Harm,
  { ends, lateAt, ...rest }: {
    ends: number;
    lateAt: number[];
    disruptions?: { gateway: string; from: number; to: number }[];
    controlCuts?: { from: number; to: number }[];
  },
): string[] {
  const times = [
    ...Array.from({ length: ends }, (_, index) => 100 * index),
    ...lateAt,
  ];
  const events = times.map((at, index) => ({ id: `${harm}-${index}`, at }));
  return findHarmFaults({
    sent: events.map(({ id }) => ({ id, harm, gateway: "gateway" })),
    ends: events.slice(0, ends),
    arrivals: events,
    contactMs: CONTACT_MILLISECONDS,
    disruptions: [],
    controlCuts: [],
    ...rest,
  });
}

// Guards against a check that misses harm which arrives when it has to be known.
test("late arrivals of a harm are found once there are more than three", () => {
  for (const harm of ["request", "part"] as const) {
    const ends = DECISIVE_ENDS[harm];
    const late = [4_000, 4_001, 4_002, 4_003];
    assert.deepEqual(play(harm, { ends, lateAt: late }), [
      `a harmful ${harm} arrived 4 times when it had to be known`,
    ]);
    assert.deepEqual(play(harm, { ends, lateAt: late.slice(1) }), []);
    const fewer = { ends: ends - 1, lateAt: late };
    assert.deepEqual(play(harm, fewer), [], "nothing is decided yet");
    const early = late.map((at) => at - CONTACT_MILLISECONDS);
    assert.deepEqual(play(harm, { ends, lateAt: early }), []);
  }
});

// Guards against a check that blames gateways for what they couldn't hear, or
// excuses those that could.
test("only gateways in touch have to know a harm", () => {
  const day = { ends: 3, lateAt: [9_000, 9_001, 9_002, 9_003] };
  const near = { from: 5_000, to: 6_500 };
  const far = { from: 4_000, to: 5_500 };
  const disruption = (span: typeof near, gateway = "gateway") => ({
    ...day,
    disruptions: [{ gateway, ...span }],
  });
  assert.deepEqual(play("request", disruption(near)), []);
  assert.equal(play("request", disruption(far)).length, 1);
  assert.equal(play("request", disruption(near, "other")).length, 1);
  assert.deepEqual(play("request", { ...day, controlCuts: [near] }), []);
  assert.equal(play("request", { ...day, controlCuts: [far] }).length, 1);
});
