/**
 * Why a data folder can't be opened or written. `detail` names the file or
 * folder, or is the error of the failed write.
 */
export type StorageProblem = {
  kind:
    | "missing-folder"
    | "other-member"
    | "in-use"
    | "damaged"
    | "disk-full"
    | "sync-failed";
  detail: string;
};
