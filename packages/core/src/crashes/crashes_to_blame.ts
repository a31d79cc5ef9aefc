/** Weight of backend server crashes at which a request is blamed. */
export const CRASHES_TO_BLAME = 3;
