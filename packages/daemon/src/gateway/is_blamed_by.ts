import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { parsePartNames } from "@teaselrouter/core/crashes/parse_part_names.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { fingerprintCall } from "./fingerprint_call.ts";

/** Whether a blame applies to a request. */
export function isBlamedBy(blame: Blame, call: AdmittedCall): boolean {
  const parts = parsePartNames(blame.fingerprint);
  if (parts === undefined) return fingerprintCall(call) === blame.fingerprint;
  return parts.every((part) => call.metadata.sharedParts.includes(part));
}
