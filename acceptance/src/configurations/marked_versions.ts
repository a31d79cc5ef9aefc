/** Versions before and behind each, of which its documents bear a mark. */
export const MARKED_VERSIONS = 100;
