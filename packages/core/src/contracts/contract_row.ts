import type { ContractContent } from "./contract_content.ts";

/** A workspace's current contract. */
export type ContractRow = {
  workspace: string;
  /**
   * Counts accepted changes from 1; a change states the number that it
   * replaces.
   */
  number: number;
  content: ContractContent;
  retired: boolean;
  /**
   * Highest floor of any entry host under the current or an earlier content,
   * requests per second. A host that has been cut off since then may still use
   * this rate.
   */
  highestFloor: number;
  /** Content digests of the latest changes, to recognize a resent change. */
  history: { number: number; digest: string }[];
};
