import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";

/** Response of an entry host to an accepted contract change. */
export type ContractReply = {
  accepted: boolean;
  stands: ContractRow;
  in_force: boolean;
  hosts_without_lease: string[];
};
