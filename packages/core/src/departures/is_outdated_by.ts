import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { Departure } from "./departure.ts";

const RANKS = { ready: 0, leaving: 1, gone: 2 } as const;

type Word = Pick<BackendAnnouncement, "bornAt" | "sequence" | "state">;

/**
 * Whether what is known of an instance, or arrives late, says less than its
 * departure does. A later start of the instance is not held back.
 */
export function isOutdatedBy(word: Word, departure: Departure): boolean {
  const { bornAt, sequence, state, at } = departure;
  if (RANKS[word.state] >= RANKS[state]) return false;
  if (bornAt === undefined) return word.bornAt <= at;
  if (word.bornAt !== bornAt) return word.bornAt < bornAt;
  return word.sequence <= sequence;
}
