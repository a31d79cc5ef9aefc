import type { BackendServerRow } from "./backend_server_row.ts";

/** The fields that the agent of a backend server announces. */
type Announced = Pick<
  BackendServerRow,
  | "backendServer"
  | "dataCentre"
  | "service"
  | "incarnation"
  | "internalAddress"
  | "chunkAddress"
  | "checksFencing"
  | "repeatable"
  | "usesWeights"
  | "slots"
  | "servingVersion"
  | "accepting"
  | "linkBytesPerSecond"
>;

/** Creates the row of a backend server that was just announced. */
export function createBackendServerRow(
  announced: Announced,
  now: number,
): BackendServerRow {
  return {
    ...announced,
    heardAt: now,
    pausedUntil: 0,
    acceptingSince: now,
    ownInFlight: 0,
    load: {
      running: 0,
      queued: 0,
      serviceMilliseconds: 0,
      ownInFlight: 0,
      at: 0,
    },
    failures: 0,
    asideUntil: 0,
  };
}
