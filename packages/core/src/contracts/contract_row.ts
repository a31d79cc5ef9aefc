import type { ContractContent } from "./contract_content.ts";

/** A workspace's contract as it stands. */
export type ContractRow = {
  workspace: string;
  /** Counts accepted changes from 1; a change names the one it replaces. */
  number: number;
  content: ContractContent;
  retired: boolean;
  /**
   * Highest floor of any entry host under this or an earlier content,
   * requests a second: what a host that was cut off since may still use.
   */
  highestFloor: number;
  /** Content digests of the latest changes, to know a resent one again. */
  history: { number: number; digest: string }[];
};
