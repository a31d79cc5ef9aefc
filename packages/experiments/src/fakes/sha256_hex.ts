import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** SHA-256 of parts in order, hexadecimal. */
export function digestOf(parts: (Buffer | string)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest("hex");
}
