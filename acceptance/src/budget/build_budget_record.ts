import type { EndToEndSystem } from "../end_to_end_system.ts";
import type { PlatformBounds } from "../platform_bounds.ts";
import type { BudgetRecord } from "./budget_record.ts";

type Day =
  & Pick<
    BudgetRecord,
    "requests" | "endedInstances" | "maxAttempts" | "disruptions"
  >
  & { system: EndToEndSystem; bounds: PlatformBounds };

/** Adds what the backend servers of a played day saw. */
export function buildBudgetRecord({ system, ...day }: Day): BudgetRecord {
  const { servers } = system;
  return {
    ...day,
    arrivals: servers.flatMap(({ server, service }) =>
      server.receipts.map((receipt) => ({ ...receipt, service }))
    ),
    runs: servers.flatMap(({ server }) => server.runs),
  };
}
