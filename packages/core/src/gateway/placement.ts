/** How a request goes to the backend server that was chosen for it. */
export type Placement =
  /** It can still be in time. */
  | "timely"
  /** It can't be any more: it takes what those that can be leave over. */
  | "late"
  /** Even for that there is no room. */
  | "refused";
