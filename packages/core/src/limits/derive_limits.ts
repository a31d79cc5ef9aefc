import type { ContractRow } from "../contracts/contract_row.ts";

type DerivedLimits = {
  /**
   * Requests a second that one entry host may admit while it is cut off from
   * the control hosts.
   */
  floorRate: number;
  /** Requests a second that all entry hosts together may admit. */
  totalRate: number;
  /** Requests that one entry host may admit at once. */
  burst: number;
};

/**
 * Derives an entry host's limits from a contract. All are 0 if the contract is
 * missing or retired.
 */
export function deriveLimits(
  contract: ContractRow | undefined,
  entryHosts: number,
): DerivedLimits {
  if (contract === undefined || contract.retired) {
    return { floorRate: 0, totalRate: 0, burst: 0 };
  }
  const { requests_per_second, guaranteed_share, burst } = contract.content;
  const hosts = Math.max(1, entryHosts);
  return {
    floorRate: requests_per_second * guaranteed_share / hosts,
    totalRate: requests_per_second,
    burst: Math.max(1, burst / hosts),
  };
}
