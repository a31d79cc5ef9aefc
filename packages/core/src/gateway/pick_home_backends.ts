import type { BackendStanding } from "../membership/backend_standing.ts";
import { hashText } from "../random/hash_text.ts";

/** Backend servers of a data centre that one host prefers. */
const HOME_BACKENDS = 4;

type Options = {
  /** The host's own name. */
  host: string;
  dataCentre: string;
};

/**
 * The near backend servers that a host sends to first, by rendezvous hashing:
 * without a word between hosts each backend server is preferred by a few.
 *
 * Pattern: dozens of hosts send to dozens of engines whose loads they hear some
 * tenths of a second late. In that time about as many requests reach an engine
 * as wait there, and which of two is emptier is a matter of chance. Of the load
 * of the few that a host prefers it knows a good part itself, at once.
 */
export function pickHomeBackends(
  standings: readonly BackendStanding[],
  { host, dataCentre }: Options,
): ReadonlySet<string> {
  const ranked = standings
    .filter((standing) => standing.dataCentre === dataCentre)
    .map(({ instance }) => ({
      instance,
      score: hashText(`${instance}\n${host}`),
    }))
    .sort((left, right) => right.score - left.score);
  return new Set(
    ranked.slice(0, HOME_BACKENDS).map(({ instance }) => instance),
  );
}
