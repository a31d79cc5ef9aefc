import type { RestoredLog } from "@teaselrouter/storage/restored_log.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * Whether a control host at `address` may bootstrap a cluster: it has no log
 * and is a founder that the settings allow to do so. A member that joined an
 * existing cluster has a log, though it bootstrapped nothing.
 */
export function canBootstrapCluster(
  { control }: Settings,
  address: string,
  { entries, hardState, snapshot }: RestoredLog,
): boolean {
  const isEmpty = entries.length === 0 && hardState.term === 0 &&
    snapshot.lastIndex === 0;
  const { may_found, tolerated_losses, founders } = control!;
  // Without automatic membership (tolerated_losses), a host that is not a
  // founder also asks the founders and waits.
  if (tolerated_losses === undefined) return isEmpty;
  return isEmpty && may_found &&
    founders.some((founder) => founder.address === address);
}
