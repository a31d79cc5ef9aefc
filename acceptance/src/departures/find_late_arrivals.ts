import type { LeavingRecord } from "./leaving_record.ts";

const DRAIN_MILLISECONDS = 2_000;
const CONTACT_MILLISECONDS = 3_000;

type LateArrival = LeavingRecord["arrivals"][number] & {
  /** Milliseconds since the acknowledgement. */
  after: number;
};

/**
 * Requests that a gateway in touch sent to a server later than the bound allows
 * after it was acknowledged that the server leaves. `judged` counts the moments'
 * arrivals anywhere, at which one would have counted.
 */
export function findLateArrivals(
  record: LeavingRecord,
): { late: LateArrival[]; judged: number } {
  const acknowledgedAt = new Map(
    record.acknowledgements.map(({ server, at }) => [server, at]),
  );
  const late: LateArrival[] = [];
  let judged = 0;
  for (const arrival of record.arrivals) {
    if (!isInTouch(record, arrival)) continue;
    judged += 1;
    const after = arrival.at -
      (acknowledgedAt.get(arrival.server) ?? Infinity);
    if (after > DRAIN_MILLISECONDS) late.push({ ...arrival, after });
  }
  return { late, judged };
}

/** Whether the gateway ran, and the core was stable, for the whole time before. */
function isInTouch(
  { spans, controlHosts }: LeavingRecord,
  { gateway, at }: { gateway: string; at: number },
): boolean {
  const since = at - CONTACT_MILLISECONDS;
  const isWithin = (time: number) => time >= since && time <= at;
  let missing = 0;
  for (const { name, from, to } of spans) {
    const isOut = from <= at && to >= since;
    if (name === gateway && isOut) return false;
    if (!controlHosts.includes(name)) continue;
    if (isWithin(from) || isWithin(to)) return false;
    if (from <= at && to >= at) missing += 1;
  }
  return 2 * missing < controlHosts.length;
}
