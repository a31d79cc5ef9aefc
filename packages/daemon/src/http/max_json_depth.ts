/** No document of ours or of a platform comes near. */
export const MAX_JSON_DEPTH = 32;
