import { createHash } from "node:crypto";
import type { AdmittedCall } from "./admitted_call.ts";

const FINGERPRINT_DIGITS = 24;

const known = new WeakMap<AdmittedCall, string>();

/** The same for all attempts of one request: path, caller and body. */
export function fingerprintCall(call: AdmittedCall): string {
  const before = known.get(call);
  if (before !== undefined) return before;
  const fingerprint = createHash("sha256")
    .update(`${call.path}\n${call.workspace ?? ""}\n`)
    .update(call.body ?? "")
    .digest("hex")
    .slice(0, FINGERPRINT_DIGITS);
  known.set(call, fingerprint);
  return fingerprint;
}
