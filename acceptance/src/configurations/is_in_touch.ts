import type { ConfigurationRecord } from "./configuration_record.ts";

/** Bound of the platform's usual rules. */
const CONTACT_MILLISECONDS = 3_000;

/** Whether neither the gateway nor the core was disrupted for that time. */
export function isInTouch(
  { absences }: Pick<ConfigurationRecord, "absences">,
  gateway: string,
  at: number,
): boolean {
  return !absences.some(({ hosts, isCore, from, to }) =>
    (isCore || hosts.includes(gateway)) && from < at &&
    to > at - CONTACT_MILLISECONDS
  );
}
