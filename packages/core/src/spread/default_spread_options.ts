/** How many transfers the planner keeps under way, by measurement. */
export const defaultSpreadOptions = {
  chunksLookedAt: 16,
  holdersLookedAt: 8,
  downloadsPerHost: 3,
  crossingsPerHost: 4,
  uploadsPerHost: 3,
  originTransfers: 2,
  regionTransfers: 2,
} as const;
