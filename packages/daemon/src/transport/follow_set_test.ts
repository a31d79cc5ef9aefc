import type { ControlUpdate } from "@teaselrouter/messages/follow.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "./client_pool.ts";
import { FollowSet } from "./follow_set.ts";
import { pause } from "./pause.ts";

const SEEDS = ["a:1", "b:1", "c:1"];

/** Control hosts that take a stream in and say nothing until told to. */
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
        takeUntil(messages, signal);
        return this.#updates(signal);
      },
    });
    return { client, renew: () => undefined } as unknown as ClientPool;
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

async function takeUntil(
  messages: AsyncIterable<unknown>,
  signal: AbortSignal,
): Promise<void> {
  for await (const _ of messages) if (signal.aborted) return;
}

function follow(hosts: SlowControlHosts, isControl: boolean): FollowSet {
  return new FollowSet({
    hello: { host: "h", dataCentre: "here", isControl },
    selfAddress: "",
    seeds: SEEDS,
    most: SEEDS.length,
    clients: hosts.clients,
    log: new EventLog("h", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
  });
}

// Pattern: behind an outage all followers turn to control hosts that have just
// started. Guards against each opening all its streams at once, behind which
// the first stream of others waits for seconds.
test("a follower's next streams wait until the first is heard", async () => {
  const hosts = new SlowControlHosts();
  const follows = follow(hosts, false);
  follows.start();
  await pause(300);
  assert.equal(hosts.opened.length, 1);
  hosts.answer();
  await pause(900);
  follows.stop();
  assert.deepEqual([...new Set(hosts.opened)].sort(), SEEDS);
});

// Guards against a first control host that is lost keeping a follower from all.
test("a follower turns to the next when the first says nothing", async () => {
  const hosts = new SlowControlHosts();
  const follows = follow(hosts, false);
  follows.start();
  await pause(1_000);
  follows.stop();
  assert.equal(new Set(hosts.opened).size, 2);
});

// Control hosts elect a leader only once they reach each other.
test("control hosts turn to each other all at once", async () => {
  const hosts = new SlowControlHosts();
  const follows = follow(hosts, true);
  follows.start();
  await pause(50);
  follows.stop();
  assert.deepEqual([...hosts.opened].sort(), SEEDS);
});
