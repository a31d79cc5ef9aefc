import type { Harm } from "./harm.ts";

/** Ends under one harm, behind which gateways have to keep it from servers. */
const DECISIVE_ENDS: Record<Harm, number> = { request: 3, part: 5 };
const MAX_LATE_ARRIVALS = 3;

type Span = { from: number; to: number };
type Day = {
  sent: readonly { id: string; harm: Harm; gateway: string }[];
  /** When a backend server ended, and by which request. */
  ends: readonly { id: string | undefined; at: number }[];
  arrivals: readonly { id: string; at: number }[];
  contactMs: number;
  /** Spans in which a gateway was killed, stopped or stood still. */
  disruptions: readonly (Span & { gateway: string })[];
  /** Spans in which control hosts had no majority. */
  controlCuts: readonly Span[];
};

/**
 * Lists the harms that arrived too often when every gateway in touch had to know
 * them. A gateway is in touch while it and the control hosts have run without
 * trouble for `contactMs`.
 */
export function findHarmFaults(day: Day): string[] {
  return (["request", "part"] as const).flatMap((harm) => {
    const late = countLate(day, harm);
    return late > MAX_LATE_ARRIVALS
      ? [`a harmful ${harm} arrived ${late} times when it had to be known`]
      : [];
  });
}

function countLate(day: Day, harm: Harm): number {
  const { sent, ends, arrivals, contactMs } = day;
  const gateways = new Map(
    sent.filter((request) => request.harm === harm)
      .map(({ id, gateway }) => [id, gateway]),
  );
  const times = ends.flatMap(({ id, at }) => gateways.has(id ?? "") ? [at] : [])
    .sort((left, right) => left - right);
  const decisiveAt = times[DECISIVE_ENDS[harm] - 1] ?? Infinity;
  return arrivals.filter(({ id, at }) => {
    const gateway = gateways.get(id);
    return gateway !== undefined && at > decisiveAt + contactMs &&
      isInTouch(day, gateway, at);
  }).length;
}

function isInTouch(
  { disruptions, controlCuts, contactMs }: Day,
  gateway: string,
  at: number,
): boolean {
  const troubles = [
    ...disruptions.filter((disruption) => disruption.gateway === gateway),
    ...controlCuts,
  ];
  return troubles.every(({ from, to }) => at < from || at > to + contactMs);
}
