import { IncidentDay } from "../incident_day.ts";
import { PartDay } from "../part_day.ts";
import { drawEndingTerms } from "./draw_ending_terms.ts";

/** Which day a seed plays, what came of it, and what it violated. */
type EndingDayResult = {
  name: string;
  ends: string;
  late: string;
  served: string;
  faults: string[];
};

/**
 * Plays a day on which backend servers end in many ways, under prompt parts or
 * under requests that are sent again and again.
 */
export async function playEndingDay(seed: number): Promise<EndingDayResult> {
  const terms = drawEndingTerms(seed);
  const { heartbeatMilliseconds } = terms;
  if (seed % 2 === 0) {
    const day = await new IncidentDay(seed, terms).run();
    return {
      name: `requests, ${heartbeatMilliseconds} ms; ${
        day.disruptions.join(", ")
      }`,
      ends: day.crashes.join("+"),
      late: day.lateArrivals.join("+"),
      served: `${day.served}/${day.served + day.refused + day.broken}`,
      faults: day.faults,
    };
  }
  const day = await new PartDay(Math.floor(seed / 2), terms).run();
  return {
    name: `parts, ${heartbeatMilliseconds} ms; ${day.mix}, ${day.disruption}`,
    ends: String(day.crashes),
    late: day.lateArrivals.join("+") || "-",
    served: `${day.harmless.served}/${day.harmless.sent}`,
    faults: day.faults,
  };
}
