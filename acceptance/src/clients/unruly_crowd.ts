import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "../end_to_end_system.ts";
import { UnrulyClient } from "./unruly_client.ts";
import { UsageWatch } from "./usage_watch.ts";

const PLAY_MILLISECONDS = 6_000;
/** For one ordinary request; not a bound, but an end of the waiting. */
const ANSWER_MILLISECONDS = 60_000;
/** An ordinary caller asks again, on a new connection. */
const ATTEMPT_MILLISECONDS = 5_000;
const HEAD = "Host: desk.example\r\nAttempt-Id: unruly\r\n" +
  "Deadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\n";
const CALLER_LIMITS = { maxBodyBytes: 4_194_304, idleTimeoutMs: 15_000 };

/** Ports that anybody may reach, by the process that listens there. */
type Port = "frontend" | "ready" | "control" | "metrics" | "internal";

type Options = {
  /** What a machine that runs the process has. */
  machine: { memoryMb: number; maxFds: number };
  port: Port;
  clients: number;
  act: (client: UnrulyClient, index: number) => void;
};

const PATHS: Record<Port, string> = {
  frontend: "POST /pay/x",
  ready: "POST /readyz",
  control: "PUT /config",
  metrics: "POST /metrics",
  internal: "POST /x",
};

/**
 * Plays a crowd of unruly clients at one port of a system, and requires that the
 * process stays within its machine and serves an ordinary request afterwards,
 * before the crowd leaves and behind it.
 */
export async function playUnrulyCrowd(options: Options): Promise<void> {
  const { machine, port, clients, act } = options;
  const system = new EndToEndSystem({
    engines: 1,
    shape: { limits: machine },
  });
  const crowd: UnrulyClient[] = [];
  let watch: UsageWatch | undefined;
  let keepLogs = true;
  try {
    await system.start();
    const limits = { limits: CALLER_LIMITS };
    assert.ok(await waitUntil(() => system.configure(2, limits), 10_000));
    const name = port === "control" ? "control-0" : system.gatewayNames[0]!;
    const { child, ip } = system.cluster.findHost(name);
    watch = new UsageWatch(child.pid);
    const head = `${PATHS[port]} HTTP/1.1\r\n${HEAD}`;
    const target = { host: ip, port: system.cluster.portOf(port), head };
    for (let index = 0; index < clients; index += 1) {
      const client = new UnrulyClient(target);
      crowd.push(client);
      act(client, index);
    }
    await sleep(PLAY_MILLISECONDS);
    await expectOrdinaryAnswer(system, "beside the crowd");
    for (const { socket } of crowd) socket.destroy();
    await expectOrdinaryAnswer(system, "behind the crowd");
    watch.read();
    const { megabytes, descriptors } = watch.most;
    console.log(
      `${port}: ${Math.round(megabytes)} MB, ${descriptors} descriptors`,
    );
    assert.ok(megabytes <= machine.memoryMb, `${megabytes} MB`);
    assert.ok(descriptors <= machine.maxFds, `${descriptors} descriptors`);
    keepLogs = false;
  } finally {
    watch?.stop();
    for (const { socket } of crowd) socket.destroy();
    await system.stop({ keepLogs });
  }
}

async function expectOrdinaryAnswer(
  system: EndToEndSystem,
  when: string,
): Promise<void> {
  let sent = 0;
  const isServed = async () => {
    sent += 1;
    const id = `ordinary-${when.split(" ")[0]}-${sent}`;
    const answer = await Promise.race([
      system.sendRequest("/pay/x", { id, method: "POST", body: "two seats" })
        .catch(() => undefined),
      sleep(ATTEMPT_MILLISECONDS),
    ]);
    return answer?.status === 200 &&
      (await system.callControlHost("GET", "/config")).status === 200;
  };
  assert.ok(
    await waitUntil(isServed, ANSWER_MILLISECONDS),
    `no ordinary request is served ${when}`,
  );
}
