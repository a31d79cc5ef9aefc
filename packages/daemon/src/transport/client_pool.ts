import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import {
  compressionGzip,
  createConnectTransport,
} from "@connectrpc/connect-node";
import { createUnreachableTransport } from "./create_unreachable_transport.ts";
import { FAST_GZIP } from "./fast_gzip.ts";
import { GuardedSessionManager } from "./guarded_session_manager.ts";
import { MAX_MESSAGE_BYTES } from "./max_message_bytes.ts";
import { MIN_COMPRESSED_BYTES } from "./min_compressed_bytes.ts";
import { PooledConnection } from "./pooled_connection.ts";

const PING_INTERVAL_MILLISECONDS = 2_000;
const PING_TIMEOUT_MILLISECONDS = 1_500;
const IDLE_TIMEOUT_MILLISECONDS = 60_000;
/** Stands for an address that can't be one; nothing is sent there. */
const UNREACHABLE_URL = "http://unreachable.invalid";

/** Keeps one HTTP/2 connection to each other process, opened on first use. */
export class ClientPool {
  #connections = new Map<string, PooledConnection>();
  #connectionByClient = new WeakMap<object, PooledConnection>();
  #dial: Record<string, string>;

  /**
   * @param dial addresses to connect to instead, by the address that callers
   * use; for port forwarding.
   */
  constructor(dial: Record<string, string> = {}) {
    this.#dial = dial;
  }

  client<Service extends DescService>(
    service: Service,
    address: string,
  ): Client<Service> {
    let connection = this.#connections.get(address);
    if (connection === undefined) {
      connection = connect(this.#dial[address] ?? address);
      this.#connections.set(address, connection);
    }
    const client = createClient(service, connection.transport);
    this.#connectionByClient.set(client, connection);
    return client;
  }

  /**
   * Removes a connection that has gone silent from the pool, so that the next
   * call opens a new one: a network device on the path may have lost the old
   * connection's state for good, while new connections work. Calls in flight
   * on the old connection are not aborted.
   *
   * @param client the one whose connection it is; nothing is done if the pool
   * has a later one by now.
   */
  dropConnection(address: string, client?: object): void {
    const connection = this.#connections.get(address);
    const isLater = client !== undefined &&
      this.#connectionByClient.get(client) !== connection;
    if (connection === undefined || isLater) return;
    this.#connections.delete(address);
    connection.drop();
  }

  /** The connection that this client makes its calls on. */
  connectionOf(client: object): PooledConnection {
    return this.#connectionByClient.get(client)!;
  }

  /** Aborts the pooled connections with all their calls. */
  close(): void {
    for (const { manager } of this.#connections.values()) manager.abort();
    this.#connections.clear();
  }
}

function connect(address: string): PooledConnection {
  const baseUrl = `http://${address}`;
  if (!URL.canParse(baseUrl)) {
    return new PooledConnection({
      manager: new GuardedSessionManager(UNREACHABLE_URL),
      transport: createUnreachableTransport(address),
    });
  }
  const manager = new GuardedSessionManager(baseUrl, {
    pingIntervalMs: PING_INTERVAL_MILLISECONDS,
    pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
    pingIdleConnection: false,
    idleConnectionTimeoutMs: IDLE_TIMEOUT_MILLISECONDS,
  });
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager: manager,
    useBinaryFormat: true,
    acceptCompression: [compressionGzip],
    sendCompression: FAST_GZIP,
    compressMinBytes: MIN_COMPRESSED_BYTES,
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  return new PooledConnection({ manager, transport });
}
