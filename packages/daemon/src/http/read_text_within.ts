import { Buffer } from "node:buffer";

/**
 * Reads a body of at most `maxBytes` as UTF-8. Rejects, and closes the
 * connection, if it is longer or ends early.
 */
export async function readTextWithin(
  answer: Response,
  maxBytes: number,
): Promise<string> {
  const parts: Uint8Array[] = [];
  let bytes = 0;
  for await (const part of answer.body ?? []) {
    parts.push(part);
    bytes += part.length;
    // Leaving the loop cancels the body.
    if (bytes > maxBytes) throw new Error(`over ${maxBytes} bytes`);
  }
  return Buffer.concat(parts).toString("utf8");
}
