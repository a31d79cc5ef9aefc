import type { FleetPattern } from "./fleet_pattern.ts";

const SECONDS = 24;
const TURNS = 10;

function steady(load: number): FleetPattern {
  return { seconds: SECONDS, load: () => load, away: [] };
}

/** The loads that policies are compared under, by name. */
export const fleetPatterns: Record<string, FleetPattern> = {
  "steady-0.8": steady(0.8),
  "steady-1.0": steady(1),
  "steady-1.1": steady(1.1),
  "steady-1.3": steady(1.3),
  burst: {
    seconds: SECONDS,
    load: (second) => second >= 8 && second < 12 ? 1.4 : 0.7,
    away: [],
  },
  outage: {
    seconds: SECONDS,
    load: () => 0.7,
    away: [{ from: 8, to: 10, first: 0, last: 1 }],
  },
  turns: {
    seconds: SECONDS,
    load: () => 0.7,
    away: Array.from({ length: TURNS }, (_, turn) => ({
      from: 6 + turn,
      to: 7.5 + turn,
      first: turn / TURNS,
      last: (turn + 1) / TURNS,
    })),
  },
};
