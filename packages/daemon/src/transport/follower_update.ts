import type {
  CrashNews,
  GatewayPresence,
  LimitNews,
} from "@teaselrouter/messages/follow.ts";

/** What a follower sends to control hosts unasked, besides its heartbeats. */
export type FollowerUpdate =
  | { case: "crashes"; value: CrashNews }
  | { case: "limits"; value: LimitNews }
  | { case: "gateway"; value: GatewayPresence };
