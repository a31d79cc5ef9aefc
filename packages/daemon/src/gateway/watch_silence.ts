/** How often it is looked: a fraction of the time that counts as silence. */
const LOOK_MILLISECONDS = 200;

type Options = {
  /** Whether the backend server has stopped answering altogether. */
  isSilent: () => boolean;
  /** Whether the request would be sent on if this attempt were given up. */
  mayGoElsewhere: () => boolean;
  giveUp: () => void;
};

/**
 * Gives an attempt up when its backend server falls silent and the request
 * can go on elsewhere. Where it can't, its silence is no reason to end it.
 *
 * @returns ends the watch.
 */
export function watchSilence(options: Options): () => void {
  const timer = setInterval(() => {
    if (!options.isSilent() || !options.mayGoElsewhere()) return;
    clearInterval(timer);
    options.giveUp();
  }, LOOK_MILLISECONDS);
  return () => clearInterval(timer);
}
