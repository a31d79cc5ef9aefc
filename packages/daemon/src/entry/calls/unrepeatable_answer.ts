import type { Buffer } from "node:buffer";

/** The answer of a call that may not be repeated, as stored in the log. */
export type UnrepeatableAnswer = {
  status: number;
  contentType: string;
  body: Buffer;
};
