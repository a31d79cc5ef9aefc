import type { FleetPattern } from "./fleet_pattern.ts";

const PATTERN_SECONDS = 24;
const ROLLING_OUTAGES = 10;

function createSteadyPattern(load: number): FleetPattern {
  return { seconds: PATTERN_SECONDS, load: () => load, outages: [] };
}

/**
 * The patterns under which policies are compared, by name. In "turns" each
 * tenth of the engines has an outage of 1.5 seconds, which begins one second
 * after that of the previous tenth.
 */
export const fleetPatterns: Record<string, FleetPattern> = {
  "steady-0.8": createSteadyPattern(0.8),
  "steady-1.0": createSteadyPattern(1),
  "steady-1.1": createSteadyPattern(1.1),
  "steady-1.3": createSteadyPattern(1.3),
  burst: {
    seconds: PATTERN_SECONDS,
    load: (second) => second >= 8 && second < 12 ? 1.4 : 0.7,
    outages: [],
  },
  outage: {
    seconds: PATTERN_SECONDS,
    load: () => 0.7,
    outages: [{ from: 8, to: 10, first: 0, last: 1 }],
  },
  turns: {
    seconds: PATTERN_SECONDS,
    load: () => 0.7,
    outages: Array.from({ length: ROLLING_OUTAGES }, (_, index) => ({
      from: 6 + index,
      to: 7.5 + index,
      first: index / ROLLING_OUTAGES,
      last: (index + 1) / ROLLING_OUTAGES,
    })),
  },
};
