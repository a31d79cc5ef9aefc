import type { BackendStanding } from "../membership/backend_standing.ts";
import type { BackendRecord } from "./backend_record.ts";

/** A backend server that could take a request, with what is known of it. */
export type BackendChoice = {
  standing: BackendStanding;
  record: BackendRecord;
};
