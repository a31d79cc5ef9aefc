import type { FleetPattern } from "./fleet_pattern.ts";

const PATTERN_SECONDS = 24;
const ROLLING_OUTAGES = 10;

function createSteadyPattern(load: number): FleetPattern {
  return { seconds: PATTERN_SECONDS, load: () => load, outages: [] };
}

/** Load that leaves a tenth of the room in calm seconds. */
const USUAL_LOAD = 0.87;

/** Bursts of the least urgent kind and of the most urgent one. */
const burstOfBoth: FleetPattern = {
  seconds: PATTERN_SECONDS,
  load: () => USUAL_LOAD,
  kindLoad: (second, kind) => {
    if (kind === "spare" && second >= 6 && second < 16) return 2.4;
    return kind === "urgent" && second >= 10 && second < 18 ? 1.7 : 1;
  },
  outages: [],
};

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
  // The backlog of the outage and the usual load compete for the room.
  "outage-at-usual-load": {
    seconds: PATTERN_SECONDS,
    load: () => USUAL_LOAD,
    outages: [{ from: 6, to: 10, first: 0, last: 1 }],
    countedFrom: 10,
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
  "burst-of-spare": {
    ...burstOfBoth,
    kindLoad: (second, kind) =>
      kind === "spare" && second >= 6 && second < 12 ? 2.4 : 1,
  },
  "burst-of-both": burstOfBoth,
  triple: {
    seconds: PATTERN_SECONDS,
    load: (second) => second >= 6 && second < 16 ? 3 : USUAL_LOAD,
    outages: [],
  },
  "large-workspace": {
    seconds: PATTERN_SECONDS,
    load: () => 1.2,
    // 60 in 100 of the demand beside 23 others.
    workspaceWeight: (workspace) => workspace === 0 ? 34.5 : 1,
    outages: [],
  },
  "restart-in-burst": { ...burstOfBoth, restart: { host: 0, second: 12 } },
  "cut-off-in-burst": { ...burstOfBoth, cutOffHost: 0 },
  // One small host alone has too few calls for a figure.
  "small-hosts-in-burst": {
    ...burstOfBoth,
    hostWeight: (host) => host < 6 ? 0.05 : 1,
  },
};
