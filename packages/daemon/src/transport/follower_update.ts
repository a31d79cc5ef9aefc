import type { CrashNews, LimitNews } from "@teaselrouter/messages/follow.ts";

/** What a follower tells control hosts of its own accord. */
export type News =
  | { case: "crashes"; value: CrashNews }
  | { case: "limits"; value: LimitNews };
