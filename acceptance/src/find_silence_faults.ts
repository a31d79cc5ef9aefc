import { SilenceExcuses, type SilenceTimes } from "./silence_excuses.ts";
import { streamText } from "./stream_text.ts";
import type { RequestKind, TracedRequest } from "./traced_request.ts";

/** Statuses that promise that the request has not run. */
const REFUSALS = [408, 429, 503];
const MAX_ATTEMPTS = 2;
const RETRY_RATIO = 0.2;
const SAVED_RETRIES = 8;
const MAX_EXAMPLES = 3;

type Server = {
  instance: string;
  /** Requests read, also those that were ended in a silence. */
  receivedRequestIds: readonly string[];
  ranRequestIds: readonly string[];
};

export type SilenceDayRecord = SilenceTimes & {
  requests: readonly TracedRequest[];
  servers: readonly Server[];
  gateways: number;
};

/**
 * Lists what the silences of a day cost clients, as text: a line for each kind of
 * fault.
 */
export function findSilenceFaults(day: SilenceDayRecord): string[] {
  const found = listLostRequests(day).flatMap(({ fault, ...rest }) =>
    fault === undefined ? [] : [{ fault, ...rest }]
  );
  const kinds = [...new Set(found.map(({ fault }) => fault))];
  return [
    ...kinds.map((kind) =>
      describe(kind, found.filter(({ fault }) => fault === kind))
    ),
    ...findBudgetFaults(day),
  ];
}

/** A request without the answer or refusal that it is owed. */
type LostRequest = {
  request: TracedRequest;
  /** Servers that it reached. */
  instances: string[];
  /** What was wrong; undefined if it is excused. */
  fault?: string | undefined;
  excuse?: string | undefined;
};

/** Lists the requests with faults, and those that would have one but are excused. */
export function listLostRequests(day: SilenceDayRecord): LostRequest[] {
  const received = group(day.servers, "receivedRequestIds");
  const ran = group(day.servers, "ranRequestIds");
  const excuses = new SilenceExcuses(day, (id) => received.get(id) ?? []);
  return day.requests.flatMap((request) => {
    const runs = ran.get(request.id)?.length ?? 0;
    const instances = received.get(request.id) ?? [];
    const runFault = findRunFault(request, runs);
    if (runFault !== undefined) {
      return [{ request, instances, fault: runFault }];
    }
    const fault = findEndFault(request);
    if (fault === undefined) return [];
    const excuse = excuses.explain(request);
    return [
      excuse === undefined
        ? { request, instances, fault }
        : { request, instances, excuse },
    ];
  });
}

function findRunFault(
  { kind, status }: TracedRequest,
  runs: number,
): string | undefined {
  if (kind !== "unsafe") return undefined;
  if (runs > 1) return "ran more than once";
  if (runs > 0 && REFUSALS.includes(status)) return "were refused and had run";
  return undefined;
}

function findEndFault(request: TracedRequest): string | undefined {
  const { status, isWhole, isAbandoned } = request;
  if (isAbandoned) return "were abandoned in a gap";
  if (!isWhole) return status === 0 ? "got no answer" : "broke off";
  if (status === 200) {
    return isAsSent(request) ? undefined : "were not what the server sent";
  }
  const isOwed = REFUSALS.includes(status) || isOfOldWeights(request);
  return isOwed ? undefined : `ended in ${status}`;
}

/**
 * No request may begin on weights that are too old, and one that was sent may
 * have: such an attempt ends, and nothing can be promised.
 */
function isOfOldWeights({ kind, status, text }: TracedRequest): boolean {
  return kind === "stream" && status === 502 &&
    text.startsWith("its weights are too old to begin on");
}

function isAsSent({ kind, text, events, id }: TracedRequest): boolean {
  return text === (kind === "stream" ? streamText(events) : echo(kind, id));
}

function echo(kind: Exclude<RequestKind, "stream">, id: string): string {
  return kind === "safe"
    ? "GET /look/x tenant-1 "
    : `POST /pay/x tenant-1 ${id}`;
}

function findBudgetFaults(
  { servers, requests, gateways }: SilenceDayRecord,
): string[] {
  const received = group(servers, "receivedRequestIds");
  const ids = new Set(requests.map(({ id }) => id));
  const arrivals = [...received].filter(([id]) => ids.has(id));
  const repeats = arrivals.reduce(
    (sum, [, instances]) => sum + instances.length - 1,
    0,
  );
  const allowed = RETRY_RATIO * requests.length + SAVED_RETRIES * gateways;
  const wide = arrivals.filter(([, instances]) =>
    new Set(instances).size > MAX_ATTEMPTS
  );
  return [
    ...(repeats > allowed ? [`${repeats} repeats, ${allowed} allowed`] : []),
    ...(wide.length > 0
      ? [`${wide.length} requests reached over ${MAX_ATTEMPTS} servers`]
      : []),
  ];
}

/** The servers of each request, by id; one twice if it came there twice. */
function group(
  servers: readonly Server[],
  list: "receivedRequestIds" | "ranRequestIds",
): Map<string, string[]> {
  const byId = new Map<string, string[]>();
  for (const server of servers) {
    for (const id of server[list]) {
      const instances = byId.get(id) ?? [];
      byId.set(id, instances);
      instances.push(server.instance);
    }
  }
  return byId;
}

function describe(
  fault: string,
  lost: readonly LostRequest[],
): string {
  const examples = lost.slice(0, MAX_EXAMPLES).map(({ request, instances }) => {
    const milliseconds = Math.round(request.endedAt - request.sentAt);
    return `${request.id} (${request.kind}, ${request.gateway}, ` +
      `${instances.join("+")}, ${milliseconds} ms)`;
  });
  return `${lost.length} ${fault}: ${examples.join(", ")}`;
}
