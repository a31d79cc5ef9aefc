/** Why a data folder can't be used; `detail` names the file. */
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
