import type { Topology } from "./topology.ts";

const REGION_BYTES_PER_SECOND = 18_000_000 / 8;
/** One transfer at a time to each of the two other data centres. */
const CONCURRENT_REGION_TRANSFERS = 2;

/**
 * The data centres and services of Cedarline, as specified: 4 entry hosts in 3
 * data centres, 8 engines, 3 servers with unrepeatable calls, and 1 with
 * repeatable calls.
 */
export function createSmallTopology(linkBytesPerSecond: number): Topology {
  return {
    entryHosts: [
      { name: "van-1", dataCentre: "van", control: true },
      { name: "kel-1", dataCentre: "kel", control: true },
      { name: "pgr-1", dataCentre: "pgr", control: true },
      { name: "van-2", dataCentre: "van", control: false },
    ],
    services: [
      {
        service: "drafter",
        kind: "engine",
        dataCentres: ["van", "kel", "pgr", "van", "kel", "pgr", "van", "kel"],
      },
      {
        service: "ledger",
        kind: "unrepeatable",
        dataCentres: ["van", "kel", "pgr"],
      },
      { service: "portal", kind: "repeatable", dataCentres: ["van"] },
    ],
    linkBytesPerSecond,
    regionBytesPerSecond: REGION_BYTES_PER_SECOND / CONCURRENT_REGION_TRANSFERS,
    spreadObjective: "time",
    withRelays: false,
    logLevel: "info",
  };
}
