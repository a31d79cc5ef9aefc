import type { Buffer } from "node:buffer";

/** A caller's request that passed every check and its workspace's limit. */
export type CheckedCall = {
  workspace: string;
  service: string;
  path: string;
  body: Buffer;
  contentType: string;
  idempotencyKey: string;
  deadlineMilliseconds: number;
  /** From the contract; queued calls with a larger value run first. */
  priority: number;
  receivedAt: number;
};
