import type { ClientRequest } from "node:http";

/** Servers send one or two ahead of an answer. */
const MAX_INTERIM_ANSWERS = 16;

/**
 * Calls `giveUp` when a request gets more interim answers (status 1xx) than any
 * server has a use for: they may come without end.
 */
export function limitInterimAnswers(
  request: ClientRequest,
  giveUp: (reason: string) => void,
): void {
  let count = 0;
  request.on("information", () => {
    count += 1;
    if (count > MAX_INTERIM_ANSWERS) giveUp("interim answers without end");
  });
}
