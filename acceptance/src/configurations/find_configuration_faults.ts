import type { ConfigurationRecord } from "./configuration_record.ts";
import { isInTouch } from "./is_in_touch.ts";

/** Bound of the platform's usual rules. */
const ROLLBACK_SLACK_MILLISECONDS = 250;
const MIN_ADDED_REQUESTS = 20;
const MIN_ADDED_SHARE = 0.25;

/** A line for each rule of the configuration that a day broke. */
export function findConfigurationFaults(record: ConfigurationRecord): string[] {
  return [
    ...record.wrongAnswers.map(({ version, status, what }) =>
      `${what} version ${version} was answered ${status}`
    ),
    ...findReadFaults(record),
    ...findLateGateways(record),
    ...findRegressions(record),
    ...findUnservedRoutes(record),
  ];
}

function findReadFaults(
  { reads, acknowledgements, documents, invalidVersions }: ConfigurationRecord,
): string[] {
  const faults: string[] = [];
  const seen = new Map<number, string>();
  for (const { from, host, document } of reads) {
    if (document === undefined) continue;
    const version = readVersion(document);
    const newest = Math.max(
      ...acknowledgements.filter(({ at }) => at < from)
        .map((acknowledged) => acknowledged.version),
    );
    const answer = `${host} answered a read at ${from.toFixed(0)} with version`;
    if (version < newest) {
      faults.push(`${answer} ${version}, ${newest} had been acknowledged`);
    }
    if (invalidVersions.has(version)) {
      faults.push(`${answer} ${version}, which is invalid`);
    } else if (documents.get(version)?.includes(document) !== true) {
      faults.push(`${answer} ${version} and content that was not sent`);
    }
    if ((seen.get(version) ?? document) !== document) {
      faults.push(`${answer} ${version}, and had other content before`);
    }
    seen.set(version, document);
  }
  return faults;
}

function readVersion(document: string): number {
  return (JSON.parse(document) as { version: number }).version;
}

/** Gateways in touch that obey an older version than they have to. */
function findLateGateways(record: ConfigurationRecord): string[] {
  return record.observations.flatMap(({ gateway, from, olderThan }) => {
    if (olderThan === undefined || !isInTouch(record, gateway, from)) return [];
    const acknowledged = record.acknowledgements.find(({ version, at }) =>
      version >= olderThan && at < from - record.bounds.apply
    );
    return acknowledged === undefined ? [] : [
      `${gateway} obeyed an older version than ${olderThan} at ` +
      `${from.toFixed(0)}, ${acknowledged.version} was acknowledged at ` +
      acknowledged.at.toFixed(0),
    ];
  });
}

/** Gateways that obey an older version than before, without a new start. */
function findRegressions(
  { observations, absences }: ConfigurationRecord,
): string[] {
  return observations.flatMap(({ gateway, from, olderThan }) => {
    if (olderThan === undefined) return [];
    const since = Math.max(
      -Infinity,
      ...absences.filter(({ hosts, from: lostAt }) =>
        hosts.includes(gateway) && lostAt < from
      ).map(({ to }) => to),
    );
    const earlier = observations.find((other) =>
      other.gateway === gateway && other.from > since &&
      other.atLeast !== undefined && other.atLeast >= olderThan &&
      other.to < from - ROLLBACK_SLACK_MILLISECONDS
    );
    return earlier === undefined ? [] : [
      `${gateway} went back behind version ${earlier.atLeast} at ` +
      from.toFixed(0),
    ];
  });
}

function findUnservedRoutes(record: ConfigurationRecord): string[] {
  const judged = record.requests.filter(({ at, gateway }) =>
    isInTouch(record, gateway, at)
  );
  const added = judged.filter(({ isAdded }) => isAdded);
  const first = judged.filter(({ isAdded }) => !isAdded);
  if (added.length < MIN_ADDED_REQUESTS || first.length === 0) return [];
  const [ofAdded, ofFirst] = [shareServed(added), shareServed(first)];
  return ofAdded >= MIN_ADDED_SHARE * ofFirst ? [] : [
    `routes that were added were served in ${ofAdded.toFixed(2)}, the first ` +
    `in ${ofFirst.toFixed(2)}`,
  ];
}

function shareServed(requests: { served: boolean }[]): number {
  return requests.filter(({ served }) => served).length / requests.length;
}
