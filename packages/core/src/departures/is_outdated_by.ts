import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { Departure } from "./departure.ts";

const RANKS = { ready: 0, leaving: 1, gone: 2 } as const;

type Word = Pick<BackendAnnouncement, "bornAt" | "sequence" | "state">;

/**
 * Whether an instance's departure supersedes another word of it. It doesn't
 * where the word is of a later start, or says the same or more.
 */
export function isOutdatedBy(word: Word, departure: Departure): boolean {
  const { bornAt, sequence, state, at } = departure;
  if (RANKS[word.state] >= RANKS[state]) return false;
  if (bornAt === undefined) return word.bornAt <= at;
  if (word.bornAt !== bornAt) return word.bornAt < bornAt;
  return word.sequence <= sequence;
}
