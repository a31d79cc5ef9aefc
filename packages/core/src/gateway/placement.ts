/** How a request goes to the backend server that was chosen for it. */
export type Placement = {
  /**
   * "timely": it can still be in time. "late": it can't be any more, and takes
   * what those that can be leave over. "refused": even for that there is no
   * room.
   */
  kind: "timely" | "late" | "refused";
  /** When its first event is expected, milliseconds; without an engine none. */
  firstEventMilliseconds: number | undefined;
};
