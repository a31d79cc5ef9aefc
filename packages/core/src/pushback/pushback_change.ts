/** How an answer changed what is known of a backend server's pushback. */
export type PushbackChange =
  /** It asked for a pause, or says for the first time that it shuts down. */
  | "began"
  /** It asked for a pause that ends later than the one before. */
  | "extended"
  /** The known state already covers it. */
  | "unchanged";
