import type { BackendAnnouncement } from "./backend_announcement.ts";

/** Identifies one start of one backend server: `instance@bornAt`. */
export function incarnationOf(
  { instance, bornAt }: Pick<BackendAnnouncement, "instance" | "bornAt">,
): string {
  return `${instance}@${bornAt}`;
}
