type Machine = {
  memoryBytes: number;
  descriptors: number;
  /** Whether callers are served here, or other hosts of the system mainly. */
  servesCallers: boolean;
};

/**
 * What callers may take of a machine. The rest is for the program itself, its
 * connections to other hosts and backend servers, and its files.
 */
type CallerShare = {
  bodyBytes: number;
  /** Requests that wait behind others on their connections. */
  waitingRequests: number;
  /** Beyond the usual few of each connection of another host. */
  hostStreams: number;
  /** At a port that callers, operators or backend servers use. */
  connections: number;
  /** At the port that other hosts of the system use. */
  hostConnections: number;
  /** At a port that a few use: readiness, metrics. */
  sideConnections: number;
};

const BODY_SHARE = 0.2;
const WAITING_SHARE = 0.1;
/** Bytes set aside for a request that waits, or is handled before its turn. */
const WAITING_REQUEST_BYTES = 16_384;
const STREAM_SHARE = 0.1;
/** Bytes set aside for a stream of another host, without its messages. */
const STREAM_BYTES = 65_536;
const CONNECTION_MEMORY_SHARE = 0.4;
/** Bytes that a head of 64 KiB, the longest that is read, takes while held. */
const CONNECTION_BYTES = 196_608;
const SIDE_CONNECTION_SHARE = 0.03;
/** All hosts of a system follow its few control hosts. */
const CONNECTION_SHARES = {
  callers: { connections: 0.5, hostConnections: 0.15 },
  hosts: { connections: 0.25, hostConnections: 0.6 },
};

/** Divides a machine's memory and descriptors before any caller comes. */
export function divideMachine(
  { memoryBytes, descriptors, servesCallers }: Machine,
): CallerShare {
  const share = (part: number) => Math.max(1, Math.floor(descriptors * part));
  const { connections, hostConnections } =
    CONNECTION_SHARES[servesCallers ? "callers" : "hosts"];
  const withinMemory = Math.floor(
    memoryBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES,
  );
  return {
    bodyBytes: Math.floor(memoryBytes * BODY_SHARE),
    waitingRequests: Math.floor(
      memoryBytes * WAITING_SHARE / WAITING_REQUEST_BYTES,
    ),
    hostStreams: Math.floor(memoryBytes * STREAM_SHARE / STREAM_BYTES),
    connections: Math.max(1, Math.min(share(connections), withinMemory)),
    hostConnections: share(hostConnections),
    sideConnections: share(SIDE_CONNECTION_SHARE),
  };
}
