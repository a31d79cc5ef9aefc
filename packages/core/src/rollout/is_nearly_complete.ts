type Progress = {
  held: number;
  total: number;
  /** Time since this host learned of the version. */
  elapsedMilliseconds: number;
  /** Time since the latest chunk arrived. */
  millisecondsSinceLastChunk: number;
};

/**
 * Time in which an engine that accepts no new requests finishes most of its
 * running ones: a mean response of 120 tokens takes 0.9 s as the batch shrinks.
 */
const ENGINE_DRAIN_MILLISECONDS = 900;
/**
 * Several times the interval between two chunks on a slow link. If the last
 * chunks have no source, as while the weight store is down, the earlier rate
 * doesn't predict when they will arrive.
 */
const STALL_TIMEOUT_MILLISECONDS = 600;
/** With a smaller share, too few chunks have arrived to estimate the rate. */
const MINIMUM_HELD_SHARE = 0.5;

/**
 * Whether the rest of a version is expected to arrive by the time an engine
 * that accepts no new requests from now on has drained.
 *
 * A tenth to a third of a version arrives per second, depending on the host's
 * link and the hosts that share it. An engine that stopped accepting requests
 * at a fixed share would be idle for seconds where chunks arrive slowly, at the
 * time when the other engines can spare it least.
 */
export function isNearlyComplete(progress: Progress): boolean {
  const { held, total, elapsedMilliseconds } = progress;
  if (held >= total) return true;
  if (held < total * MINIMUM_HELD_SHARE) return false;
  if (progress.millisecondsSinceLastChunk > STALL_TIMEOUT_MILLISECONDS) {
    return false;
  }
  const remainingMilliseconds = elapsedMilliseconds * (total - held) / held;
  return remainingMilliseconds <= ENGINE_DRAIN_MILLISECONDS;
}
