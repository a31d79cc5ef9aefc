import type { Topology } from "./topology.ts";

const REGION_BYTES_PER_SECOND = 18_000_000 / 8;
/** Two other regions, one transfer to each at a time. */
const REGION_TRANSFERS = 2;

/** Cedarline's places and services, as the brief has them. */
export function smallTopology(linkBytesPerSecond: number): Topology {
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
    regionBytesPerSecond: REGION_BYTES_PER_SECOND / REGION_TRANSFERS,
    spreadWeighing: "time",
    withRelays: false,
    logLevel: "info",
  };
}
