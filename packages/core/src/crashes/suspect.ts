import type { CrashEvidence } from "./crash_evidence.ts";

/** A request or a prompt part that was in flight at crashes. */
export type Suspect = {
  /** A request's fingerprint, or a part's name as in `nameParts`. */
  name: string;
  evidence: CrashEvidence;
};
