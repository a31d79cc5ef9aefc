/**
 * Messages between processes are compressed from this size on: configurations
 * are; smaller ones cost more to compress than to send.
 */
export const COMPRESSED_BYTES = 16_384;
