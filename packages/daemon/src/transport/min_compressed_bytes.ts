/**
 * Messages between processes are compressed from this size on: configurations
 * reach it, while smaller messages cost more to compress than to send.
 */
export const MIN_COMPRESSED_BYTES = 16_384;
