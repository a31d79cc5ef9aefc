/** Default sample sizes and limits on concurrent transfers of the planner. */
export const defaultSpreadOptions = {
  chunkSampleSize: 16,
  holderSampleSize: 8,
  downloadsPerHost: 3,
  remoteDownloadsPerHost: 4,
  uploadsPerHost: 3,
  originTransfers: 2,
  transfersPerRemoteDataCentre: 2,
} as const;
