import type { SystemStatus } from "./system_status.ts";

/** Whether the evacuation of a data centre is in force. */
export function isEvacuated(
  dataCentre: string,
  { evacuations = [] }: Pick<SystemStatus, "evacuations">,
): boolean {
  return evacuations.some((row) => row.data_centre === dataCentre);
}
