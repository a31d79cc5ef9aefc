import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { estimateYouthLikelihood } from "./estimate_youth_likelihood.ts";

const LEAST = 1e-3;
const DRAWS = 20_000;

const positions = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), {
  minLength: 1,
  maxLength: 64,
});

// Guards against blames in vain, as a part's requests are young by chance.
test("requests of any age are seldom found younger than any bound", () => {
  const random = createSeededRandom(1);
  for (const count of [1, 3, 5, 12, 40]) {
    const likelihoods = Array.from(
      { length: DRAWS },
      () => estimateYouthLikelihood(Array.from({ length: count }, random)),
    );
    for (const bound of [0.5, 0.3, 0.1, 0.03, 0.01, 0.003]) {
      const found = likelihoods.filter((each) => each <= bound).length;
      const share = found / DRAWS;
      assert.ok(
        share <= bound,
        `${share} at ${bound} of ${count} requests`,
      );
    }
  }
});

// Guards against a new part, all of whose requests are young, that is blamed for
// that alone; and against a likelihood that grows beyond certainty.
test("ages alone weigh within bounds, whatever they are", () => {
  fc.assert(fc.property(positions, (drawn) => {
    const likelihood = estimateYouthLikelihood(drawn);
    assert.ok(likelihood >= LEAST && likelihood <= 1);
  }));
  const youngest = Array.from({ length: 1_000 }, () => 0);
  assert.equal(estimateYouthLikelihood(youngest), LEAST);
});

// Guards against a part that is held to be young as nothing is known of it, or
// as its requests are old.
test("unknown and old requests speak neither for a part nor against it", () => {
  assert.equal(estimateYouthLikelihood([]), 1);
  assert.equal(estimateYouthLikelihood([0.5, 0.5, 0.5]), 1);
  assert.equal(estimateYouthLikelihood([0.9, 0.8, 0.2]), 1);
});

// Guards against a harmful part whose requests are the youngest each time, and
// count for no more than others.
test("the younger the requests, the less likely", () => {
  fc.assert(fc.property(positions, fc.nat({ max: 63 }), (drawn, index) => {
    const younger = drawn.map((each, at) =>
      at === index % drawn.length ? each / 2 : each
    );
    assert.ok(
      estimateYouthLikelihood(younger) <= estimateYouthLikelihood(drawn),
    );
  }));
  assert.ok(estimateYouthLikelihood([0.1, 0.1, 0.1]) < 0.1);
});
