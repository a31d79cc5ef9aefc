import assert from "node:assert/strict";
import { createServer, get, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { BackendConnections } from "./backend_connections.ts";

const ADDRESS = "127.0.0.1";

test("an answer in flight continues after its backend server leaves", async () => {
  // A backend server announces that it leaves, and its address is no longer in
  // use at once; it still finishes its streams. Closing its idle connections
  // must not cut them off.
  let finish = () => {};
  const server = createServer((_request, response) => {
    response.write("first ");
    finish = () => response.end("last");
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const connections = new BackendConnections();
  const agent = connections.agentFor(`${ADDRESS}:${port}`);
  const message = await new Promise<IncomingMessage>((resolve) =>
    get({ host: ADDRESS, port, agent }, resolve)
  );
  connections.retainOnly(new Set());
  finish();
  let text = "";
  for await (const part of message) text += part;
  assert.equal(text, "first last");
  connections.retainOnly(new Set());
  assert.equal(agent.isUnused, true);
  connections.close();
  server.close();
  server.closeAllConnections();
});

test("bytes that arrive with no request in flight close the connection", async () => {
  // A backend server sends a second answer after a complete one. The next
  // request on that connection must not get it as its own answer.
  let connectionsMade = 0;
  const server = createServer((request, response) => {
    response.end(request.url);
    const { socket } = request;
    setTimeout(() =>
      socket.write(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
      ), 20);
  });
  server.on("connection", () => {
    connectionsMade += 1;
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  const connections = new BackendConnections();
  const agent = connections.agentFor(`${ADDRESS}:${port}`);
  const ask = (path: string) =>
    new Promise<string>((resolve, reject) => {
      get({ host: ADDRESS, port, path, agent }, async (message) => {
        let text = "";
        for await (const part of message) text += part;
        resolve(text);
      }).on("error", reject);
    });
  for (const path of ["/a", "/b", "/c"]) {
    assert.equal(await ask(path), path);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  assert.equal(connectionsMade, 3);
  connections.close();
  server.close();
  server.closeAllConnections();
});
