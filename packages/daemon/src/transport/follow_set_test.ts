import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { FollowSet } from "./follow_set.ts";
import { sleep } from "./sleep.ts";

const SEEDS = ["a:1", "b:1", "c:1"];

/** Control hosts that accept streams, and send nothing until `answer()`. */
class SlowControlHosts {
  readonly opened: string[] = [];
  #answer: () => void = () => undefined;
  #answered = new Promise<void>((resolve) => {
    this.#answer = resolve;
  });

  get clients(): ClientPool {
    const client = (_: unknown, address: string) => ({
      follow: (
        messages: AsyncIterable<unknown>,
        { signal }: { signal: AbortSignal },
      ) => {
        this.opened.push(address);
        consumeUntilAborted(messages, signal);
        return this.#updates(signal);
      },
    });
    return { client, dropConnection: () => undefined } as unknown as ClientPool;
  }

  answer(): void {
    this.#answer();
  }

  async *#updates(signal: AbortSignal): AsyncGenerator<ControlUpdate> {
    const aborted = new Promise((resolve) =>
      signal.addEventListener("abort", resolve)
    );
    await Promise.race([this.#answered, aborted]);
    if (!signal.aborted) {
      yield { body: { case: "heartbeat", value: {} } } as ControlUpdate;
    }
    await aborted;
    throw new Error("aborted");
  }
}

async function consumeUntilAborted(
  messages: AsyncIterable<unknown>,
  signal: AbortSignal,
): Promise<void> {
  for await (const _ of messages) if (signal.aborted) return;
}

function createFollowSet(
  hosts: SlowControlHosts,
  isControl: boolean,
): FollowSet {
  return new FollowSet({
    hello: { host: "h", dataCentre: "here", isControl },
    selfAddress: "",
    seeds: SEEDS,
    maxLinks: SEEDS.length,
    clients: hosts.clients,
    log: new EventLog("h", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
  });
}

// After an outage all followers connect to control hosts that have just
// started. Guards against a follower that opens all its streams at once: the
// first streams of other followers would queue behind them for seconds.
test("a follower's further streams wait for a message on the first", async () => {
  const hosts = new SlowControlHosts();
  const followSet = createFollowSet(hosts, false);
  followSet.start();
  await sleep(300);
  assert.equal(hosts.opened.length, 1);
  hosts.answer();
  await sleep(900);
  followSet.stop();
  assert.deepEqual([...new Set(hosts.opened)].sort(), SEEDS);
});

// Guards against a follower that connects to no control host at all because the
// first one that it tries is lost.
test("a follower tries the next control host when the first is silent", async () => {
  const hosts = new SlowControlHosts();
  const followSet = createFollowSet(hosts, false);
  followSet.start();
  await sleep(1_000);
  followSet.stop();
  assert.equal(new Set(hosts.opened).size, 2);
});

// Control hosts can elect a leader only once they reach each other. Guards
// against an election that waits for streams opened one after the other.
test("control hosts open their streams to each other all at once", async () => {
  const hosts = new SlowControlHosts();
  const followSet = createFollowSet(hosts, true);
  followSet.start();
  await sleep(50);
  followSet.stop();
  assert.deepEqual([...hosts.opened].sort(), SEEDS);
});
