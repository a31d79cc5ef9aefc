/** When a process ends, all of its connections close within this time. */
export const SIMULTANEOUS_MILLISECONDS = 30;
