import type { FakeBackendServer } from "./fake_backend_server.ts";

/** Time in which a gateway has to obey a Retry-After. */
const REACTION_MILLISECONDS = 500;
/** Requests of one gateway that may reach a server between the reaction time and
 * the end of its pause. */
const MAX_REQUESTS_IN_PAUSE = 2;
/** Time in which a gateway has to obey that a server is shutting down. */
const DRAIN_MILLISECONDS = 2_000;

type Day = {
  servers: readonly FakeBackendServer[];
  /** Gateway and time of sending of each request, by id. */
  sent: ReadonlyMap<string, { gateway: string; sentAt: number }>;
  /**
   * Spans in which a gateway was frozen or started anew. It may forget what it
   * heard before, and answers may reach it late.
   */
  excuses: readonly { gateway: string; from: number; to: number }[];
};

/**
 * Lists the requests that reached a server in a pause or a shutdown, as text: more
 * than two from one gateway between half a second and the end of the pause that
 * it was asked for, and any that was sent more than two seconds after the server
 * had told that gateway that it shuts down.
 */
export function findPushbackFaults({ servers, sent, excuses }: Day): string[] {
  const gatewayOf = (id: string) => sent.get(id)?.gateway ?? "";
  const isExcused = (gateway: string, from: number, to: number) =>
    excuses.some((excuse) =>
      excuse.gateway === gateway && excuse.from <= to && excuse.to >= from
    );
  const faults: string[] = [];
  for (const server of servers) {
    const { arrivals, rejections, leavingNotices } = server;
    for (const { id, at, instance, seconds } of rejections) {
      const gateway = gatewayOf(id);
      const endsAt = Math.min(at + 1_000 * seconds, findEnd(server, at));
      if (!(endsAt > at) || isExcused(gateway, at, endsAt)) continue;
      const unwanted = arrivals.filter((arrival) =>
        arrival.instance === instance && gatewayOf(arrival.id) === gateway &&
        arrival.at > at + REACTION_MILLISECONDS && arrival.at < endsAt
      );
      if (unwanted.length <= MAX_REQUESTS_IN_PAUSE) continue;
      faults.push(
        `${instance} got ${unwanted.length} in a pause of ${seconds} s` +
          ` asked of ${gateway}`,
      );
    }
    for (const notice of leavingNotices) {
      const gateway = gatewayOf(notice.id);
      const endsAt = findEnd(server, notice.at);
      const late = arrivals.filter(({ id, at, instance }) =>
        instance === notice.instance && gatewayOf(id) === gateway &&
        at < endsAt &&
        sent.get(id)!.sentAt > notice.at + DRAIN_MILLISECONDS &&
        !isExcused(gateway, notice.at, at)
      );
      if (late.length === 0) continue;
      faults.push(
        `${notice.instance} got ${late.length} after its notice to ${gateway}`,
      );
    }
  }
  return [...new Set(faults)];
}

/** When the server ended next: a later start, also of its name, asks anew. */
function findEnd({ crashRecords }: FakeBackendServer, from: number): number {
  return crashRecords.map(({ at }) => at).find((at) => at >= from) ?? Infinity;
}
