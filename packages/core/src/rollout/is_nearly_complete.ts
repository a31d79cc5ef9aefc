type Progress = {
  held: number;
  total: number;
  /** Since the version was heard of. */
  elapsedMilliseconds: number;
  /** Since the latest chunk came. */
  quietMilliseconds: number;
};

/**
 * In which an engine that takes nothing new has ended most of what it runs: a
 * mean answer of 120 tokens takes 0.9 s as the batch gets smaller.
 */
const RUN_EMPTY_MILLISECONDS = 900;
/**
 * Several times what lies between two chunks on a thin link. Where the last
 * chunks have no source, as while the weight store is down, what came before
 * says nothing of when they will come.
 */
const STALLED_MILLISECONDS = 600;
/** With less held, too little was seen to tell how fast the rest comes. */
const LEAST_SHARE = 0.5;

/**
 * Whether the rest of a version is expected by the time at which an engine
 * that takes nothing new from now on has run empty.
 *
 * Pattern: chunks arrive at a tenth to a third of the version a second, by the
 * host's link and who shares it. An engine that stops taking requests at a
 * fixed share stands idle for seconds where they come slowly, at the time
 * when the others can spare it least.
 */
export function isNearlyHeld(progress: Progress): boolean {
  const { held, total, elapsedMilliseconds } = progress;
  if (held >= total) return true;
  if (held < total * LEAST_SHARE) return false;
  if (progress.quietMilliseconds > STALLED_MILLISECONDS) return false;
  const left = elapsedMilliseconds * (total - held) / held;
  return left <= RUN_EMPTY_MILLISECONDS;
}
