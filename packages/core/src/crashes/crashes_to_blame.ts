/** So many backend servers have to end under one request. */
export const CRASHES_TO_BLAME = 3;
