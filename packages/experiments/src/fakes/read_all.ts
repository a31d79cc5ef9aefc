import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reads the whole body of a request or a response. */
export async function readAll(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}
