import type { PeerMessage } from "@teaselrouter/messages/control.ts";
import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { PeerLinks } from "../control/peer_links.ts";
import { ClientPool } from "./client_pool.ts";
import { FollowSet } from "./follow_set.ts";
import { sleep } from "./sleep.ts";

const SEEDS = ["127.0.0.1:1"];
const ODD_ADDRESSES = [
  "127.0.0.1:99999",
  "999.0.0.1:80",
  "nonsense at all",
  "[::",
  "",
  "::",
];
/** Each address is tried, and once more. */
const PLAY_MILLISECONDS = 1_500;

/** Errors that would end this process. */
function keepUncaught(context: TestContext): unknown[] {
  const uncaught: unknown[] = [];
  const keep = (error: unknown) => void uncaught.push(error);
  for (const name of ["uncaughtException", "unhandledRejection"] as const) {
    process.on(name, keep);
    context.after(() => process.off(name, keep));
  }
  return uncaught;
}

// Guards against a process that ends at an odd address in a list of control
// hosts.
test("addresses of control hosts that can't be right end no follower", async (context) => {
  const uncaught = keepUncaught(context);
  const clients = new ClientPool();
  const updates: ControlUpdate[] = [];
  const followSet = new FollowSet({
    hello: { host: "h", dataCentre: "here", isControl: true },
    selfAddress: "",
    seeds: SEEDS,
    maxLinks: SEEDS.length + ODD_ADDRESSES.length,
    clients,
    log: new EventLog("h", "error"),
  });
  followSet.updates$.subscribe(({ update }) => updates.push(update));
  followSet.start();
  followSet.setControlHosts(ODD_ADDRESSES);
  await sleep(PLAY_MILLISECONDS);
  followSet.stop();
  clients.close();
  assert.deepEqual(uncaught, []);
  assert.deepEqual(updates, []);
});

// Guards against a member of the log that ends at another's odd address.
test("addresses of members that can't be right end no control host", async (context) => {
  const uncaught = keepUncaught(context);
  const clients = new ClientPool();
  const links = new PeerLinks(clients);
  for (const address of ODD_ADDRESSES) links.send(address, {} as PeerMessage);
  await sleep(PLAY_MILLISECONDS / 5);
  links.close();
  clients.close();
  assert.deepEqual(uncaught, []);
});
