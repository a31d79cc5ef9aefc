import type { RestoredLog } from "@teaselrouter/storage/restored_log.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * Whether the control host at `address` runs `bootstrapCluster`: it has no log
 * and, if `tolerated_losses` is set, it is one of the founders and `may_found`
 * is true. A member that joined an existing cluster has a log, though it
 * bootstrapped nothing.
 */
export function canBootstrapCluster(
  { control }: Settings,
  address: string,
  { entries, hardState, snapshot }: RestoredLog,
): boolean {
  const isEmpty = entries.length === 0 && hardState.term === 0 &&
    snapshot.lastIndex === 0;
  const { may_found, tolerated_losses, founders } = control!;
  // If `tolerated_losses` isn't set (no automatic membership), a host that is
  // not a founder runs it too: it asks the founders for the membership and
  // waits for an operator to add it. If all of them answer that no cluster
  // exists yet, it becomes one of the first members.
  if (tolerated_losses === undefined) return isEmpty;
  return isEmpty && may_found &&
    founders.some((founder) => founder.address === address);
}
