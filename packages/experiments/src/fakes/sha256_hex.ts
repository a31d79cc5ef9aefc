import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of the concatenated parts, in hexadecimal. */
export function sha256Hex(parts: (Buffer | string)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest("hex");
}
