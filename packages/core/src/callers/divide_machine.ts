type Machine = { memoryBytes: number; descriptors: number };

/**
 * What callers may take of a machine. The rest is for the program itself, its
 * connections to other hosts and backend servers, and its files.
 */
type CallerShare = {
  bodyBytes: number;
  /** At a port that callers use. */
  connections: number;
  /** At the port that other hosts of the system use. */
  hostConnections: number;
  /** At a port that a few use: readiness, metrics. */
  sideConnections: number;
};

const BODY_SHARE = 0.2;
const CALLER_CONNECTION_SHARE = 0.5;
const HOST_CONNECTION_SHARE = 0.25;
const SIDE_CONNECTION_SHARE = 0.03;

/** Divides a machine's memory and descriptors before any caller comes. */
export function divideMachine(
  { memoryBytes, descriptors }: Machine,
): CallerShare {
  const share = (part: number) => Math.max(1, Math.floor(descriptors * part));
  return {
    bodyBytes: Math.floor(memoryBytes * BODY_SHARE),
    connections: share(CALLER_CONNECTION_SHARE),
    hostConnections: share(HOST_CONNECTION_SHARE),
    sideConnections: share(SIDE_CONNECTION_SHARE),
  };
}
