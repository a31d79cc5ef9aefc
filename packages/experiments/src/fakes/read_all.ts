import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reads a request or an answer whole. */
export async function readAll(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}
