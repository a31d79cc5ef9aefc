/** As many suspicions as the replicated state keeps. */
const MAX_REMEMBERED_FINGERPRINTS = 256;

/** Adds a fingerprint; above the maximum, the oldest one is dropped. */
export function rememberLatest(
  fingerprints: Set<string>,
  latest: string,
): void {
  fingerprints.add(latest);
  if (fingerprints.size <= MAX_REMEMBERED_FINGERPRINTS) return;
  fingerprints.delete(fingerprints.values().next().value!);
}
