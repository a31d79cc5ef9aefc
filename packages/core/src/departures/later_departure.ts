import type { Departure } from "./departure.ts";

/**
 * The one of two departures of an instance that stands, the known one if they
 * say the same. One of an unknown start stands for all starts before it.
 */
export function laterDeparture(known: Departure, latest: Departure): Departure {
  return isLater(known, latest) ? latest : known;
}

function isLater(known: Departure, latest: Departure): boolean {
  if (latest.bornAt === undefined) {
    return known.state === "leaving" || latest.at > known.at;
  }
  if (known.bornAt === undefined) return latest.bornAt > known.at;
  if (latest.bornAt !== known.bornAt) return latest.bornAt > known.bornAt;
  return latest.sequence > known.sequence;
}
