/**
 * How names of prompt parts are written where fingerprints stand: no fingerprint,
 * which is hexadecimal, contains the prefix.
 */
export const PART_NAME_FORMAT = { prefix: "part:", separator: "+" };
