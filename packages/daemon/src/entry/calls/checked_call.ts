import type { Buffer } from "node:buffer";

/** A caller's request that passed every check and its limit. */
export type CheckedCall = {
  workspace: string;
  service: string;
  path: string;
  body: Buffer;
  contentType: string;
  idempotencyKey: string;
  deadlineMilliseconds: number;
  /** The contract's; larger goes first where calls wait. */
  priority: number;
  receivedAt: number;
};
