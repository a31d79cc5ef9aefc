import { BackendState } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:net";
import { test } from "node:test";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const ADDED = "added";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

type Fixture = { gateway: GatewayFixture; server: Server };

async function withFixture(
  play: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const gateway = await GatewayFixture.open();
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(ANSWER));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  try {
    await play({ gateway, server });
  } finally {
    gateway.close();
    server.close();
  }
}

/** Adds a service that no configuration named before, and a route to it. */
function addRoute({ gateway }: Fixture): void {
  const { configuration } = gateway.context.feed.table!;
  const [route] = configuration.routes;
  const document = new TextEncoder().encode(JSON.stringify({
    ...configuration,
    version: configuration.version + 1,
    routes: [...configuration.routes, {
      ...route,
      name: ADDED,
      pathPrefix: `/${ADDED}/`,
      targets: [{ service: ADDED, weight: 1 }],
    }],
    services: [...configuration.services, { name: ADDED, maxConnections: 0 }],
  }));
  const version = configuration.version + 1;
  gateway.tell({
    case: "routing",
    value: { $typeName: "teaselrouter.v1.RoutingDocument", version, document },
  });
}

function announce({ gateway, server }: Fixture): void {
  const { port } = server.address() as { port: number };
  gateway.tell({
    case: "backends",
    value: {
      $typeName: "teaselrouter.v1.BackendChanges",
      whole: false,
      backends: [{
        $typeName: "teaselrouter.v1.Backend",
        instance: "added-1",
        service: ADDED,
        address: `127.0.0.1:${port}`,
        dataCentre: "here",
        slots: 8,
        state: BackendState.READY,
        bornAt: 1,
        sequence: 1,
        coldMilliseconds: 0,
        models: [],
      }],
    },
  });
}

async function ask({ gateway }: Fixture, id: string): Promise<string> {
  const client = new RawClient(
    gateway.port,
    `GET /${ADDED}/x HTTP/1.1\r\nHost: x\r\nId: ${id}\r\n\r\n`,
  );
  try {
    await client.receive(/^HTTP\/1\.1 \d{3}/);
    return client.received.slice(9, 12);
  } finally {
    client.socket.destroy();
  }
}

// Guards against a route that isn't served though it was added: a gateway that
// knew its servers before the service, and passed them over.
test("a route to servers that were known before their service is served", () =>
  withFixture(async (fixture) => {
    announce(fixture);
    addRoute(fixture);
    assert.equal(await ask(fixture, "a1"), "200");
  }));

// Guards against a gateway that remembers that nobody served a route.
test("a route is served as soon as a server of its service is known", () =>
  withFixture(async (fixture) => {
    addRoute(fixture);
    assert.equal(await ask(fixture, "a1"), "503");
    announce(fixture);
    assert.equal(await ask(fixture, "a2"), "200");
  }));
