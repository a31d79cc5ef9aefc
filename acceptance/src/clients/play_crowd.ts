import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { UnrulyClient } from "./unruly_client.ts";
import { UnrulyPeer } from "./unruly_peer.ts";
import { UsageWatch } from "./usage_watch.ts";

const PLAY_MILLISECONDS = 6_000;

/** What the clients of a crowd do, and what a process may use meanwhile. */
export type Crowd = {
  /** What a machine that runs the process has. */
  machine: { memoryMb: number; maxFds: number };
  clients: number;
  /** What each client does, in the first version of the protocol. */
  act?: (client: UnrulyClient, index: number) => void;
  /** What each client does, as another process of the system would call. */
  call?: (peer: UnrulyPeer, index: number) => void;
};

type Target = {
  /** Of the process. */
  pid: number;
  /** Names the port in what is printed. */
  port: string;
  address: ConstructorParameters<typeof UnrulyClient>[0];
  /** Rejects if no ordinary request is served. */
  expectOrdinaryAnswer: (when: string) => Promise<void>;
};

/**
 * Plays a crowd of unruly clients at one port of a process, and requires that the
 * process stays within its machine and serves an ordinary request afterwards,
 * before the crowd leaves and behind it.
 */
export async function playCrowd(
  { machine, clients, act, call }: Crowd,
  { pid, port, address, expectOrdinaryAnswer }: Target,
): Promise<void> {
  const crowd: { leave(): void }[] = [];
  const watch = new UsageWatch(pid);
  const leave = () => {
    for (const client of crowd) client.leave();
  };
  try {
    for (let index = 0; index < clients; index += 1) {
      if (act !== undefined) {
        const client = new UnrulyClient(address);
        crowd.push(client);
        act(client, index);
      }
      if (call !== undefined) {
        const peer = new UnrulyPeer(address);
        crowd.push(peer);
        call(peer, index);
      }
    }
    await sleep(PLAY_MILLISECONDS);
    await expectOrdinaryAnswer("beside the crowd");
    leave();
    await expectOrdinaryAnswer("behind the crowd");
    watch.read();
    const { megabytes, descriptors } = watch.most;
    console.log(
      `${port}: ${Math.round(megabytes)} MB, ${descriptors} descriptors`,
    );
    assert.ok(megabytes <= machine.memoryMb, `${megabytes} MB`);
    assert.ok(descriptors <= machine.maxFds, `${descriptors} descriptors`);
  } finally {
    watch.stop();
    leave();
  }
}
