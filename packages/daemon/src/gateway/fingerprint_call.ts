import { createHash } from "node:crypto";
import type { AdmittedCall } from "./admitted_call.ts";

const FINGERPRINT_DIGITS = 24;

const fingerprints = new WeakMap<AdmittedCall, string>();

/** Hash of path, caller and body: the same for all attempts of one request. */
export function fingerprintCall(call: AdmittedCall): string {
  const cached = fingerprints.get(call);
  if (cached !== undefined) return cached;
  const fingerprint = createHash("sha256")
    .update(`${call.path}\n${call.workspace ?? ""}\n`)
    .update(call.body ?? "")
    .digest("hex")
    .slice(0, FINGERPRINT_DIGITS);
  fingerprints.set(call, fingerprint);
  return fingerprint;
}
