/** Why a caller's answer broke off after a part of it was sent. */
export type CutReason =
  /** Its backend server broke the answer off. */
  | "server-broke-off"
  | "time-over";
