import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";

/** An entry host's answer to a contract change. */
export type ContractReply = {
  accepted: boolean;
  stands: ContractRow;
  in_force: boolean;
  hosts_without_lease: string[];
};
