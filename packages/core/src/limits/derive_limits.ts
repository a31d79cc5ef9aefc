import type { ContractRow } from "../contracts/contract_row.ts";

type DerivedLimits = {
  /** Requests a second that one entry host keeps while cut off. */
  floorRate: number;
  /** Requests a second over all entry hosts. */
  totalRate: number;
  /** Requests that one entry host lets through at one moment. */
  burst: number;
};

/** Works out an entry host's limits from a contract. */
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
