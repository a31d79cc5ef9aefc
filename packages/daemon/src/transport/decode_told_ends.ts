import type { CrashNews } from "@teaselrouter/messages/follow.ts";
import type { ToldEnd } from "../gateway/told_end.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

/** Decodes the ends of backend servers that another process tells of now. */
export function decodeToldEnds({ ends }: CrashNews): ToldEnd[] {
  const now = monotonicMilliseconds();
  return ends.map(({ incarnation, ageMilliseconds }) => ({
    incarnation,
    at: now - ageMilliseconds,
  }));
}
