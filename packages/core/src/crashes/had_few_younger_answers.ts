import type { ObservedCrash } from "./observed_crash.ts";

/**
 * A part that crashes a backend server does so soon after the answer's start:
 * before many other answers start there. Counted are those that start between.
 */
const MAX_YOUNGER_ANSWERS = 3;
/** As MAX_YOUNGER_ANSWERS, where many are in flight. */
const MAX_YOUNGER_SHARE = 0.2;

/** Whether a suspect's answer was among the latest to start before a crash. */
export function hadFewYoungerAnswers(
  { scene, begunMilliseconds }: ObservedCrash,
): boolean {
  if (begunMilliseconds === undefined) return false;
  const all = [...scene.begunMilliseconds.values()];
  const younger = all.filter((time) => time < begunMilliseconds).length;
  return younger <=
    Math.max(MAX_YOUNGER_ANSWERS, all.length * MAX_YOUNGER_SHARE);
}
