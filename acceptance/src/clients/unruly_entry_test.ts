import { createSmallTopology } from "@teaselrouter/experiments/harness/create_small_topology.ts";
import { RunningSystem } from "@teaselrouter/experiments/harness/running_system.ts";
import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Crowd, playCrowd } from "./play_crowd.ts";

/** The smallest machines of each kind that are known. */
const ENTRY = { memoryMb: 250, maxFds: 4_100 };
const AGENT = { memoryMb: 218, maxFds: 1_494 };

const WEIGHTS_BYTES = 8_388_608;
const CHUNK_BYTES = 131_072;
/** As many as one request may name: all. */
const ALL_CHUNKS = Array.from({ length: 64 }, (_, index) => index).join(",");
const LARGE_CHUNK_BYTES = 65_536;
const SHORT_OF_END_BYTES = 983_040;
/** For one ordinary request; not a bound, but an end of the waiting. */
const ANSWER_MILLISECONDS = 60_000;
const ATTEMPT_MILLISECONDS = 5_000;
const HEAD = "Host: desk\r\nTeaselrouter-Workspace: desk\r\n";
const OPERATED = ["contract", "create", "desk", "--rate", "400"];
const CONTRACT = [
  ...OPERATED,
  "--burst",
  "200",
  "--services",
  "drafter,portal",
];

/** Whose calls go through the process at whose port the crowd is. */
const SERVICES = { entry: "portal", agent: "drafter" };

type Options = Crowd & { port: "entry" | "agent"; request: string };

/** Plays a crowd at one port of a system with entry hosts and agents. */
async function playEntryCrowd(options: Options): Promise<void> {
  const { machine, port, request } = options;
  const system = new RunningSystem({
    topology: {
      ...createSmallTopology(0),
      entryHosts: [{ name: "van-1", dataCentre: "van", control: true }],
      services: [
        { service: "drafter", kind: "engine", dataCentres: ["van"] },
        { service: "portal", kind: "repeatable", dataCentres: ["van"] },
      ],
      machine: {
        memory_megabytes: machine.memoryMb,
        descriptors: machine.maxFds,
      },
    },
    model: "drafter",
    totalBytes: WEIGHTS_BYTES,
    chunkBytes: CHUNK_BYTES,
    commonChunks: 0,
    originBytesPerSecond: 0,
  });
  let keepLogs = true;
  try {
    await system.start();
    await system.runClient(CONTRACT);
    await system.measureSpread("1", 1);
    const { cluster } = system;
    const agent = cluster.backendServers[0]!;
    const entry = cluster.entryHosts[0]!;
    const address = port === "entry" ? entry.public : agent.agentAddress;
    const [host, number] = address.split(":");
    const name = port === "entry" ? entry.name : agent.name;
    await playCrowd(options, {
      pid: cluster.child(name).pid,
      port,
      address: {
        host: host!,
        port: Number(number),
        head: `${request} HTTP/1.1\r\n${HEAD}`,
      },
      expectOrdinaryAnswer: (when) =>
        expectOrdinaryAnswer(system.entryUrl(entry.name), SERVICES[port], when),
    });
    keepLogs = false;
  } finally {
    await system.destroy({ keepLogs });
  }
}

async function expectOrdinaryAnswer(
  entry: string,
  service: string,
  when: string,
): Promise<void> {
  const isServed = async () => {
    try {
      const answer = await fetch(`${entry}/v1/services/${service}/look`, {
        method: "POST",
        headers: { "Teaselrouter-Workspace": "desk" },
        body: "two seats",
        signal: AbortSignal.timeout(ATTEMPT_MILLISECONDS),
      });
      await answer.text();
      return answer.status === 200;
    } catch {
      return false;
    }
  };
  assert.ok(
    await waitUntil(isServed, ANSWER_MILLISECONDS),
    `no ordinary request is served ${when}`,
  );
}

// Guards against bodies that an entry host holds though they never end.
test("bodies that stop short of their end stay within an entry host's memory", () =>
  playEntryCrowd({
    machine: ENTRY,
    port: "entry",
    request: "POST /v1/services/portal/look",
    clients: 300,
    act: (client) => client.stopShort(LARGE_CHUNK_BYTES, SHORT_OF_END_BYTES),
  }));

// Guards against answers that pile up before operators who only ask.
test("answers that nobody reads stay within an entry host's memory", () =>
  playEntryCrowd({
    machine: ENTRY,
    port: "entry",
    request: "GET /v1/operator/status",
    clients: 100,
    act: (client) => client.askWithoutReading(),
  }));

// Guards against weights that pile up before who only asks.
test("weights that nobody reads stay within an agent's memory", () =>
  playEntryCrowd({
    machine: AGENT,
    port: "agent",
    request: "GET /weights/drafter@1",
    clients: 100,
    act: (client) => client.askWithoutReading(),
  }));

// Guards against a copy of chunks for each who asks for them and reads none.
test("chunks that nobody reads stay within an agent's memory", () =>
  playEntryCrowd({
    machine: AGENT,
    port: "agent",
    request: `GET /chunks/drafter@1/${ALL_CHUNKS}`,
    clients: 300,
    act: (client) => client.askWithoutReadingTimes(1),
  }));
