import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient, type Transport } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { COMPRESSED_BYTES } from "./compressed_bytes.ts";

const PING_INTERVAL_MILLISECONDS = 2_000;
const PING_TIMEOUT_MILLISECONDS = 1_500;
const IDLE_MILLISECONDS = 60_000;

type Connection = { manager: Http2SessionManager; transport: Transport };

/** One HTTP/2 connection to each other process. */
export class ClientPool {
  #connections = new Map<string, Connection>();
  #dial: Record<string, string>;

  /** `dial` gives other addresses to dial, for port forwards. */
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
    return createClient(service, connection.transport);
  }

  /**
   * Lets go of a connection that went silent, so that the next call opens a
   * new one: something between the ends may have lost track of the old one
   * for good, while new ones work. Calls on the old one are left to end.
   */
  renew(address: string): void {
    this.#connections.delete(address);
  }

  close(): void {
    for (const { manager } of this.#connections.values()) manager.abort();
    this.#connections.clear();
  }
}

function connect(address: string): Connection {
  const baseUrl = `http://${address}`;
  const manager = new Http2SessionManager(baseUrl, {
    pingIntervalMs: PING_INTERVAL_MILLISECONDS,
    pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
    pingIdleConnection: false,
    idleConnectionTimeoutMs: IDLE_MILLISECONDS,
  });
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager: manager,
    useBinaryFormat: true,
    compressMinBytes: COMPRESSED_BYTES,
  });
  return { manager, transport };
}
