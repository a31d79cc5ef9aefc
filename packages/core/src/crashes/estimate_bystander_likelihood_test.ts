import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { estimateBystanderLikelihood } from "./estimate_bystander_likelihood.ts";

/** As many crashes of one suspect are kept. */
const MOST_CRASHES = 64;
const FEW_TIMES = 5;
const PROPERTY_RUNS = 2_000;

/**
 * How likely a part with this share of all runs is at just so many of the crashes
 * and at none of the good ends.
 */
function chanceOf(
  { share, crashes, allCrashes, goodGroups }: {
    share: number;
    crashes: number;
    allCrashes: number;
    goodGroups: number;
  },
): number {
  let ways = 1;
  for (let index = 1; index <= crashes; index += 1) {
    ways *= (allCrashes - crashes + index) / index;
  }
  return ways * share ** crashes *
    (1 - share) ** (allCrashes - crashes + goodGroups);
}

const shares = fc.double({ min: 1e-3, max: 0.99, noNaN: true });
const manyCrashes = fc.integer({ min: 1, max: MOST_CRASHES });
const someGood = fc.integer({ min: 0, max: 2_000 });

// Guards against blames in vain: over all that may happen, a harmless part looks
// unlikely as seldom as the likelihood says, whatever its share.
test("a harmless part is seldom found less likely than any bound", () => {
  const bounds = fc.integer({ min: 3, max: 6 }).map((digits) => 10 ** -digits);
  fc.assert(
    fc.property(
      shares,
      manyCrashes,
      someGood,
      bounds,
      (share, allCrashes, goodGroups, bound) => {
        let chance = 0;
        for (let crashes = 1; crashes <= allCrashes; crashes += 1) {
          const observed = { crashes, allCrashes, goodGroups };
          if (estimateBystanderLikelihood(observed) > bound) continue;
          chance += chanceOf({ share, ...observed });
        }
        assert.ok(chance <= FEW_TIMES * bound, `${chance} at ${bound}`);
      },
    ),
    { numRuns: PROPERTY_RUNS },
  );
});

// Guards against a likelihood that is too small for parts of some share.
test("a likelihood is no less than that of any share", () => {
  fc.assert(
    fc.property(
      shares,
      manyCrashes,
      manyCrashes,
      someGood,
      (share, left, right, goodGroups) => {
        const observed = {
          crashes: Math.min(left, right),
          allCrashes: Math.max(left, right),
          goodGroups,
        };
        const likelihood = estimateBystanderLikelihood(observed);
        assert.ok(likelihood > 0 && likelihood <= 1);
        const chance = chanceOf({ share, ...observed });
        assert.ok(chance <= likelihood * (1 + 1e-9));
      },
    ),
    { numRuns: PROPERTY_RUNS },
  );
});

// Guards against a harmful part that goes free the more answers end well.
test("more good ends never make a bystander likelier, and in the end unlikely", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 3, max: MOST_CRASHES }),
      manyCrashes,
      someGood,
      fc.double({ min: 0.01, max: 500, noNaN: true }),
      (crashes, others, goodGroups, more) => {
        const likelihoodAt = (groups: number) =>
          estimateBystanderLikelihood({
            crashes,
            allCrashes: crashes + others,
            goodGroups: groups,
          });
        const before = likelihoodAt(goodGroups);
        assert.ok(likelihoodAt(goodGroups + more) <= before * (1 + 1e-9));
        assert.ok(likelihoodAt(1e6) < 1e-5);
      },
    ),
    { numRuns: PROPERTY_RUNS },
  );
});

// Guards against blaming what all requests share while nobody can answer.
test("without good ends a part at all crashes is as likely as can be", () => {
  for (let crashes = 1; crashes <= MOST_CRASHES; crashes += 1) {
    const none = { crashes, allCrashes: crashes, goodGroups: 0 };
    assert.equal(estimateBystanderLikelihood(none), 1);
    const some = { crashes, allCrashes: 1_024, goodGroups: 0 };
    assert.ok(estimateBystanderLikelihood(some) > 1e-2);
  }
});
