import { REQUESTS_PER_CRASH_ROW } from "./requests_per_crash_row.ts";

type BegunRequest = {
  fingerprint: string;
  begunMilliseconds: number | null | undefined;
  sentMilliseconds?: number;
};

/**
 * Of the requests at a crash, by fingerprint the latest entry, those that had been
 * sent last, as far as known, or whose answers had begun last.
 */
export function selectYoungest<Request extends BegunRequest>(
  requests: Request[],
): Request[] {
  const byFingerprint = new Map(
    requests.map((request) => [request.fingerprint, request]),
  );
  return [...byFingerprint.values()]
    .sort((left, right) => timeOf(left) - timeOf(right))
    .slice(0, REQUESTS_PER_CRASH_ROW);
}

function timeOf(
  { sentMilliseconds, begunMilliseconds }: BegunRequest,
): number {
  return sentMilliseconds ?? begunMilliseconds ?? Number.MAX_VALUE;
}
