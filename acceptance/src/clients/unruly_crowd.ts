import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "../end_to_end_system.ts";
import { type Crowd, playCrowd } from "./play_crowd.ts";

/** For one ordinary request; not a bound, but an end of the waiting. */
const ANSWER_MILLISECONDS = 60_000;
/** An ordinary caller asks again, on a new connection. */
const ATTEMPT_MILLISECONDS = 5_000;
const HEAD = "Host: desk.example\r\nAttempt-Id: unruly\r\n" +
  "Deadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\n";
const CALLER_LIMITS = { maxBodyBytes: 4_194_304, idleTimeoutMs: 15_000 };

/** Ports that anybody may reach, by the process that listens there. */
type Port =
  | "frontend"
  | "ready"
  | "control"
  | "metrics"
  | "internal"
  | "chunks";

type Options = Crowd & {
  port: Port;
  /** The process that listens there, where it isn't the usual one. */
  host?: string;
  /** Method and path, where they aren't the usual ones of the port. */
  request?: string;
  /** Routes of the configuration beyond the usual ones. */
  extraRoutes?: number;
  /** Bytes that backend servers add to their plain answers. */
  answerBytes?: number;
};

const PATHS: Record<Port, string> = {
  frontend: "POST /pay/x",
  ready: "POST /readyz",
  control: "PUT /config",
  metrics: "POST /metrics",
  internal: "POST /x",
  chunks: "GET /chunks/x/0",
};

const HOSTS: Partial<Record<Port, string>> = {
  control: "control-0",
  chunks: "stager-40",
};

/** Plays a crowd at one port of a system on the users' platform. */
export async function playUnrulyCrowd(options: Options): Promise<void> {
  const { machine, port, extraRoutes = 0 } = options;
  const system = new EndToEndSystem({
    engines: 1,
    shape: { limits: machine },
  });
  system.plainServer.answerBytes = options.answerBytes ?? 0;
  let keepLogs = true;
  try {
    await system.start();
    const change = { limits: CALLER_LIMITS, extraRoutes };
    assert.ok(await waitUntil(() => system.configure(2, change), 10_000));
    const name = options.host ?? HOSTS[port] ?? system.gatewayNames[0]!;
    const { child, ip: host } = system.cluster.findHost(name);
    const head = `${options.request ?? PATHS[port]} HTTP/1.1\r\n${HEAD}`;
    await playCrowd(options, {
      pid: child.pid,
      port,
      address: { host, port: system.cluster.portOf(port), head },
      expectOrdinaryAnswer: async (when) => {
        await expectOrdinaryAnswer(system, when);
        if (port === "chunks") await expectChunk(host, system, when);
      },
    });
    keepLogs = false;
  } finally {
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

/** A stager serves no callers: its ordinary request is another stager's. */
async function expectChunk(
  host: string,
  { cluster, store }: EndToEndSystem,
  when: string,
): Promise<void> {
  const url = `http://${host}:${cluster.portOf("chunks")}/chunks/model-1@1/0`;
  const isServed = async () => {
    try {
      const signal = AbortSignal.timeout(ATTEMPT_MILLISECONDS);
      const answer = await fetch(url, { signal });
      const bytes = new Uint8Array(await answer.arrayBuffer());
      return answer.status === 200 && store.chunk(1, 0).equals(bytes);
    } catch {
      return false;
    }
  };
  assert.ok(
    await waitUntil(isServed, ANSWER_MILLISECONDS),
    `no chunk is served ${when}`,
  );
}
