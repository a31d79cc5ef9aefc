/** Bounds of what a backend server may say of itself. */
export const announcementBounds = {
  maxNameCharacters: 512,
  maxSlots: 1_000_000,
  maxModels: 256,
  maxColdMilliseconds: 86_400_000,
  /** Unix milliseconds, in the year 2100; a later start than any would win. */
  maxBornAt: 4_102_444_800_000,
  /** More than one in each millisecond of a century. */
  maxSequence: 10_000_000_000_000,
} as const;
