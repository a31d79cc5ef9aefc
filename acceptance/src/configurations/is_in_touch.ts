import type { ConfigurationRecord } from "./configuration_record.ts";

/** Whether neither the gateway nor the core was disrupted for that time. */
export function isInTouch(
  { absences, bounds }: Pick<ConfigurationRecord, "absences" | "bounds">,
  gateway: string,
  at: number,
): boolean {
  return !absences.some(({ hosts, isCore, from, to }) =>
    (isCore || hosts.includes(gateway)) && from < at &&
    to > at - bounds.contact
  );
}
