/**
 * Resolves when the event loop has read its sockets once more. In between, timers
 * that are due do not fire.
 */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
