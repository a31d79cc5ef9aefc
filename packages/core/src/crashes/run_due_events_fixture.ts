import type { TrafficEvent } from "./traffic_event_fixture.ts";

/** Runs what is due, and returns the rest. */
export function runDueEvents(
  events: TrafficEvent[],
  now: number,
): TrafficEvent[] {
  const due = events.filter(({ at }) => at <= now);
  for (const { run } of due) run(now);
  return events.filter((event) => !due.includes(event));
}
