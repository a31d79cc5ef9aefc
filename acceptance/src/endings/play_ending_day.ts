import { BudgetDay } from "../budget/budget_day.ts";
import { IncidentDay } from "../incident_day.ts";
import type { EndingDayKind } from "./ending_day_kind.ts";
import { PartDay } from "../part_day.ts";
import { PushbackDay } from "../pushback_day.ts";
import { drawEndingTerms } from "./draw_ending_terms.ts";

/** Which day a seed plays, what came of it, and what it violated. */
type EndingDayResult = {
  name: string;
  /** Ends of servers; of a budget day its troubles, of a pushback day notices. */
  ends: string;
  /**
   * Arrivals that came late; of a budget day repeats that were told too much, of
   * a pushback day rejections.
   */
  late: string;
  served: string;
  faults: string[];
};

/** Plays a day of all that the bound on repeats says, with such ends. */
async function playBudgetDay(seed: number): Promise<EndingDayResult> {
  const terms = drawEndingTerms(seed);
  const day = await new BudgetDay(seed, undefined, terms).run();
  return {
    name: `budget, ${terms.heartbeatMilliseconds} ms; ${
      day.windows.map(({ service, repeats, allowed }) =>
        `${service} ${repeats}/${allowed.toFixed(0)}`
      ).join(", ")
    }`,
    ends: String(day.troubles.length),
    late: `${day.deadlines.long}/${day.deadlines.judged}`,
    served: `${day.served}/${day.sent}`,
    faults: day.faults,
  };
}

/**
 * Plays a day of pauses and shutdowns with such ends. Each start has a name of
 * its own: by these the day's check tells whose pause is over.
 */
async function playPushbackDay(seed: number): Promise<EndingDayResult> {
  const terms = drawEndingTerms(seed);
  const drawEnding = () => ({ ...terms.drawEnding(), keepsName: false });
  const day = await new PushbackDay(seed, { ...terms, drawEnding }).run();
  return {
    name: `pushback, ${terms.heartbeatMilliseconds} ms; ${
      day.troubles.join(", ")
    }`,
    ends: String(day.notices),
    late: String(day.rejections),
    served: `${day.served}/${day.served + day.refused + day.broken}`,
    faults: day.faults,
  };
}

/**
 * Plays a day on which backend servers end in many ways, under prompt parts or
 * under requests that are sent again and again; or, of kind "budget", beside
 * gateways that end, too; or, of kind "pushback", beside pauses.
 */
export async function playEndingDay(
  seed: number,
  kind: EndingDayKind = "harm",
): Promise<EndingDayResult> {
  if (kind === "pushback") return await playPushbackDay(seed);
  if (kind === "budget") return await playBudgetDay(seed);
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
