/**
 * Why a data folder can't be opened or written. `detail` names the file or
 * folder, or is the error of the failed write.
 *
 * - `missing-folder`: not in use; a missing folder is created.
 * - `other-member`: the folder belongs to a member of another name.
 * - `in-use`: another running process holds the folder's lock.
 * - `damaged`: the identity is missing beside a log or invalid, the snapshot
 *   has a bad checksum, or a log segment is damaged otherwise than by a torn
 *   record at the end of the log.
 * - `disk-full`: a write to the log failed because the disk is full; it may be
 *   retried.
 * - `sync-failed`: a write to the log or its sync failed for another reason, so
 *   the process must stop.
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
