/**
 * Largest message of another process of the system. The largest that is sent, a
 * snapshot, has some megabytes.
 */
export const MAX_MESSAGE_BYTES = 67_108_864;
