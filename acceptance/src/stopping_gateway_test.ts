import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";

/** Two engines, and one gateway whose grace time ends before the streams. */
const system = new EndToEndSystem({ routeTimeoutMilliseconds: 20_000 });

before(async () => {
  await system.start();
  for (const engine of system.engines) {
    engine.streamEvents = 16;
    engine.eventIntervalMilliseconds = 1_000;
  }
});

after(() => system.stop());

// Guards against requests that a planned stop ends with a closed connection, and
// that are told as given up by their clients.
test("a planned stop refuses what has no answer yet, and says what it cuts", async () => {
  const name = system.gatewayNames[0]!;
  const begun = system.stream("begun").then(() => "whole", () => "cut");
  await sleep(200);
  system.plainServer.isFrozen = true;
  const sent = system.sendRequest("/pay/x", { id: "sent", method: "POST" })
    .then(({ status }) => status, () => "closed");
  await sleep(200);
  const gateway = system.cluster.findHost(name);
  gateway.child.signal("SIGTERM");
  assert.equal(await begun, "cut");
  assert.equal(await sent, 502);
  await gateway.child.exited;
  const log = readFileSync(join(system.cluster.folder, `${name}.log`), "utf8");
  const cut = log.split("\n").filter((line) =>
    line.includes("event=answer-cut") && line.includes("id=begun")
  );
  assert.equal(cut.length, 1);
  assert.match(cut[0]!, /reason=stopping/);
  assert.doesNotMatch(log, /outcome=client-left/);
});
