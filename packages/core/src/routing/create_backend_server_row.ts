import type { BackendServerRow } from "./backend_server_row.ts";

/** What a backend server's agent says of it. */
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

/** The row of a backend server that nothing else is known of yet. */
export function newBackendServerRow(
  announced: Announced,
  now: number,
): BackendServerRow {
  return {
    ...announced,
    heardAt: now,
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
