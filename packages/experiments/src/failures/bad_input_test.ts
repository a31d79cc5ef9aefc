import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { isReady } from "../harness/is_ready.ts";
import { sendRequest } from "./send_request.ts";
import { withSystem } from "./with_system.ts";

/**
 * Sends raw text to the host and port of a URL, and returns all data received
 * until the connection is closed.
 */
function sendRaw(address: string, text: string): Promise<string> {
  const { hostname, port } = new URL(address);
  return new Promise((resolve) => {
    let received = "";
    const socket = connect({ host: hostname, port: Number(port) }, () => {
      socket.write(text);
    });
    socket.on("data", (bytes) => {
      received += bytes;
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
  });
}

test("invalid input is refused with the field at fault, and the host keeps serving", async () => {
  // Guards against an entry host that crashes on a caller's faulty input, or
  // refuses it without saying what to correct: callers and operators send
  // invalid fields, a body that is too large, headers that are too large, bytes
  // that are no HTTP, and a body that stops halfway.
  await withSystem({}, async (system) => {
    const entry = system.cluster.publicUrl(0);
    const ledger = `${entry}/v1/services/ledger/pay`;
    const portal = `${entry}/v1/services/portal/look`;
    const desk = { "Teaselrouter-Workspace": "desk" };
    const operator = (path: string, body: string) =>
      sendRequest(`${entry}/v1/operator/${path}`, { method: "PUT", body });
    const content = (rate: number) =>
      JSON.stringify({
        expected: 0,
        content: {
          requests_per_second: rate,
          burst: 1,
          services: ["portal"],
        },
      });

    const cases = [
      [await sendRequest(portal, { body: "x" }), 403, "Teaselrouter-Workspace"],
      [
        await sendRequest(portal, {
          headers: { "Teaselrouter-Workspace": "nobody" },
          body: "x",
        }),
        403,
        "Teaselrouter-Workspace",
      ],
      [
        await sendRequest(`${entry}/v1/services/nothing/x`, { headers: desk }),
        404,
        "service",
      ],
      [
        await sendRequest(ledger, { headers: desk, body: "x" }),
        400,
        "Idempotency-Key",
      ],
      [
        await sendRequest(portal, {
          headers: { ...desk, "Teaselrouter-Deadline-Ms": "soon" },
        }),
        400,
        "Teaselrouter-Deadline-Ms",
      ],
      [
        await sendRequest(portal, {
          headers: desk,
          body: "x".repeat(1_100_000),
        }),
        413,
        "body",
      ],
      [await operator("contracts/new", "{not json"), 400, "body"],
      [
        await operator("contracts/new", content(-5)),
        400,
        "content.requests_per_second",
      ],
      [
        await operator("contracts/new", '{"expected":0,"contents":{}}'),
        400,
        "content",
      ],
    ] as const;
    for (const [answer, status, field] of cases) {
      assert.equal(answer.status, status, answer.body);
      assert.equal(answer.json["field"], field, answer.body);
      assert.equal(answer.outcome, "not-run");
    }

    const huge = `GET /ready HTTP/1.1\r\nHost: x\r\nBig: ${
      "y".repeat(20_000)
    }\r\n\r\n`;
    assert.match(
      await sendRaw(entry, huge),
      /^HTTP\/1\.1 431 .*problem\+json/s,
    );
    assert.equal(await sendRaw(entry, "\x16\x03\x01 not http\r\n\r\n"), "");
    const half = "POST /v1/services/portal/x HTTP/1.1\r\nHost: x\r\n" +
      "Teaselrouter-Workspace: desk\r\nContent-Length: 50\r\n\r\nhalf";
    assert.match(
      await sendRaw(entry, half),
      /^HTTP\/1\.1 408 .*problem\+json/s,
    );
    assert.ok(await isReady(entry), "the entry host is no longer ready");
    const good = await sendRequest(portal, { headers: desk, body: "fine" });
    assert.equal(good.status, 200);
  });
});
