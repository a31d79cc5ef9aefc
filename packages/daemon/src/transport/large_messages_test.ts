import { create } from "@bufbuild/protobuf";
import {
  PeerMessageSchema,
  PeerService,
} from "@teaselrouter/messages/control.ts";
import { FollowService } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { createTestIntake } from "../http/intake_fixture.ts";
import { ClientPool } from "./client_pool.ts";
import { InternalServer } from "./internal_server.ts";

const ROUTES = 1_640;
/** What goes between two regions, for all. */
const LINK_BITS_A_SECOND = 17_500_000;
/** Half of the time after which a leader that nobody answers leads no longer. */
const LARGE_MESSAGE_SECONDS = 0.2;
/** Members in another region, to each of which a leader sends all changes. */
const COPIES = 2;
const MAX_BYTES = LINK_BITS_A_SECOND / 8 * LARGE_MESSAGE_SECONDS / COPIES;

/** A configuration of many routes, as operators send it. */
function buildLargeDocument(): Uint8Array {
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `r-${(index * 7_919 + 12_345).toString(36)}`,
    host: `desk-${index % 7}.example`,
    path_begin: `/x${(index * 104_729).toString(36)}/`,
    kind: "streaming",
    time_bound: 6_000,
    goal_a: 400 + index % 9,
    priority: index % 3,
    service: `service-${index % 5}`,
    attempt_max: 2,
    public: false,
  }));
  return new TextEncoder().encode(JSON.stringify({ version: 7, routes }));
}

/** Counts what a caller sends to a server on the way. */
class CountingRelay {
  bytes = 0;
  #server: Server;
  #sockets = new Set<Socket>();

  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((caller) => {
      const onward = connect({ host: host!, port: Number(port) });
      for (const socket of [caller, onward]) {
        this.#sockets.add(socket);
        socket.on("error", () => undefined);
      }
      caller.on("data", (part) => void (this.bytes += part.length));
      caller.pipe(onward).pipe(caller);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

async function countBytesOf(
  send: (clients: ClientPool, address: string) => Promise<unknown>,
): Promise<number> {
  const received: number[] = [];
  const server = new InternalServer({
    intake: createTestIntake(),
    routes: (router) => {
      router.service(PeerService, {
        async *exchange(messages) {
          for await (const { body } of messages) {
            const { value } = body;
            const entries = body.case === "appendRequest" ? value : undefined;
            received.push(entries === undefined ? 0 : 1);
            yield {};
          }
        },
      });
      router.service(FollowService, {
        forward: ({ command }) => {
          received.push(command.length);
          return {};
        },
      });
    },
  });
  const free = new CountingRelay("127.0.0.1:0");
  const address = await free.listen();
  free.close();
  assert.ok((await server.listen(address)).isOk);
  const relay = new CountingRelay(address);
  const clients = new ClientPool();
  try {
    await send(clients, await relay.listen());
    assert.equal(received.length, 1);
    return relay.bytes;
  } finally {
    clients.close();
    relay.close();
    server.close();
  }
}

// Guards against a change that fills the links between regions for so long that
// heartbeats behind it come too late, and its leader leads no longer.
test("a large change takes little of a link between control hosts", async () => {
  const data = buildLargeDocument();
  const message = create(PeerMessageSchema, {
    body: { case: "appendRequest", value: { entries: [{ data }] } },
  });
  const bytes = await countBytesOf(async (clients, address) => {
    const client = clients.client(PeerService, address);
    const messages = (async function* () {
      yield message;
    })();
    for await (const _ of client.exchange(messages)) return;
  });
  assert.ok(bytes <= MAX_BYTES, `${bytes} of ${data.length} bytes are sent`);
});

// Guards against a change that a host can't hand to a leader in another region
// before its operator gives up.
test("a large change takes little of a link on its way to a leader", async () => {
  const command = buildLargeDocument();
  const bytes = await countBytesOf((clients, address) =>
    clients.client(FollowService, address).forward({ command })
  );
  assert.ok(bytes <= MAX_BYTES, `${bytes} of ${command.length} bytes are sent`);
});
