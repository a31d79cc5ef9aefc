import type { Buffer } from "node:buffer";

/** The answer of a call that may not be repeated, as the log keeps it. */
export type UnrepeatableAnswer = {
  status: number;
  contentType: string;
  body: Buffer;
};
