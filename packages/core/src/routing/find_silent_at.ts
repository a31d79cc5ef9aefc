/** Two heartbeats of an agent. */
const WORKING_SILENCE_MILLISECONDS = 800;
/** Also for one stream among others that are heard. */
const NEW_SILENCE_MILLISECONDS = 1_500;

type StreamView = {
  /** When its last frame arrived; when it was opened, if none has. */
  heardAt: number;
  connection: {
    /** When any stream's last frame arrived; when it was made, if none has. */
    heardAt: number;
    /** Whether any frame has arrived on it. */
    hasWorked: boolean;
    /** Whether calls have stopped using it, as one has found it silent. */
    isDropped: boolean;
  };
};

/**
 * Finds when a stream that carries a call's answer is to be taken for silent, on
 * the clock of its view.
 *
 * Load pattern: many calls share a connection, and a device on the path loses
 * track of it. A stream, on which its agent sends a heartbeat each 400 ms, is
 * silent after two of them if its connection is silent too. A connection that has
 * not carried anything yet is still being set up, which takes longer on a busy
 * host. Others' frames show that the connection works, though not for how long
 * this stream will wait.
 */
export function findSilentAt({ heardAt, connection }: StreamView): number {
  const patience = connection.hasWorked
    ? WORKING_SILENCE_MILLISECONDS
    : NEW_SILENCE_MILLISECONDS;
  const since = connection.isDropped
    ? connection.heardAt
    : Math.max(heardAt, connection.heardAt);
  return Math.min(since + patience, heardAt + NEW_SILENCE_MILLISECONDS);
}
