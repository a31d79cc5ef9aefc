/** Until news of an answer that has survived has come from any host. */
export const SURVIVAL_NEWS_MILLISECONDS = 300;
