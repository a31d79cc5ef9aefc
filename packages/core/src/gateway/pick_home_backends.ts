import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { hashText } from "../random/hash_text.ts";

/** Backend servers of a service in its data centre that a host prefers. */
const HOME_BACKEND_COUNT = 4;

type Options = {
  /** The host's own name. */
  host: string;
  dataCentre: string;
};

/**
 * Picks a host's home backend servers: those in its data centre that it
 * prefers. Rendezvous hashing makes each backend server the home of a few
 * hosts without communication between hosts.
 *
 * Dozens of hosts send to dozens of engines whose load reports arrive some
 * tenths of a second late. In that time about as many requests reach an engine
 * as are waiting there, so that comparing the reported loads of two engines is
 * little better than chance. With a few home backend servers, a large part of
 * their load is this host's own requests, which it knows without delay.
 */
export function pickHomeBackends(
  announcements: readonly BackendAnnouncement[],
  { host, dataCentre }: Options,
): ReadonlySet<string> {
  const ranked = announcements
    .filter((announcement) => announcement.dataCentre === dataCentre)
    .map(({ instance }) => ({
      instance,
      score: hashText(`${instance}\n${host}`),
    }))
    .sort((left, right) => right.score - left.score);
  return new Set(
    ranked.slice(0, HOME_BACKEND_COUNT).map(({ instance }) => instance),
  );
}
