/** Bytes of a block that holds a part of a body. */
export const BLOCK_BYTES = 32_768;
