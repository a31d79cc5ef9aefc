import type { RestoredLog } from "@teaselrouter/storage/restored_log.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * Whether a control host at `address` may found a cluster: it has no log, and
 * is a founder at a first start. A member that was taken in has a log, though
 * it founded nothing.
 */
export function mayFoundCluster(
  { control }: Settings,
  address: string,
  { entries, hardState, snapshot }: RestoredLog,
): boolean {
  const isEmpty = entries.length === 0 && hardState.term === 0 &&
    snapshot.lastIndex === 0;
  const { may_found, tolerated_losses, founders } = control!;
  // Without automatic membership a host that is no founder waits likewise.
  if (tolerated_losses === undefined) return isEmpty;
  return isEmpty && may_found &&
    founders.some((founder) => founder.address === address);
}
