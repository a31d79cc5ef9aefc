type Observation = {
  /** Crashes at which the part was in flight. */
  crashes: number;
  /** All crashes meanwhile. */
  allCrashes: number;
  /**
   * Good ends meanwhile, none of them on the part, in groups of as many runs as
   * were in flight at a crash.
   */
  goodGroups: number;
};

/**
 * How likely, at most, a part that harms nobody would be at so many crashes and at
 * no good end: a harmless part has the same share of the runs that are broken off
 * as of those that end well. Above 0, at most 1. Ends of a rack that fails aren't
 * independent, but what is in flight at them is. Load pattern: servers end one
 * after the other or many at once, at any time behind a request, with some of the
 * answers on them begun and others not.
 */
export function estimateBystanderLikelihood(
  { crashes, allCrashes, goodGroups }: Observation,
): number {
  const trials = allCrashes + goodGroups;
  const logarithm = logChoose(allCrashes, crashes) +
    weigh(crashes, trials) + weigh(trials - crashes, trials);
  return Math.min(1, Math.exp(logarithm));
}

function weigh(count: number, trials: number): number {
  return count === 0 ? 0 : count * Math.log(count / trials);
}

function logChoose(all: number, chosen: number): number {
  let sum = 0;
  for (let index = 1; index <= chosen; index += 1) {
    sum += Math.log((all - chosen + index) / index);
  }
  return sum;
}
