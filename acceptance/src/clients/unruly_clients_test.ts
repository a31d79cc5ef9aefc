import { test } from "node:test";
import { playUnrulyCrowd } from "./unruly_crowd.ts";

/** The smallest machines of each kind that are known. */
const GATEWAY = { memoryMb: 250, maxFds: 4_100 };
const CONTROL = { memoryMb: 346, maxFds: 4_096 };
/** So few that a small crowd is too many. */
const FEW_DESCRIPTORS = { memoryMb: 250, maxFds: 400 };

const MAX_BODY_BYTES = 4_194_304;
const LARGE_CHUNK_BYTES = 65_536;
const LONG_HEAD_BYTES = 60_000;
const TRICKLE_MILLISECONDS = 5;
const ANNOUNCED_BYTES = 1_000_000_000;

// Guards against bodies that are held though they never end: all that clients
// send just short of the limit, at once.
test("bodies that stop short of their end stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) =>
      client.stopShort(LARGE_CHUNK_BYTES, MAX_BODY_BYTES - LARGE_CHUNK_BYTES),
  }));

// Guards against chunks that cost many times what they carry, in memory and in
// time: thousands of one byte in a packet.
test("chunks of one byte stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 30,
    act: (client) => client.stopShort(1, 300_000),
  }));

// Guards against a gateway that serves who was refused, by reading on.
test("bodies that go on behind their refusal stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) => client.announce(ANNOUNCED_BYTES),
  }));

// Guards against the same where no length is announced.
test("chunks without an end stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) => client.sendChunks(LARGE_CHUNK_BYTES),
  }));

// Guards against heads that are held though they never end.
test("long heads that stop short of their end stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 2_500,
    act: (client) => client.stopWithinLongHead(LONG_HEAD_BYTES),
  }));

// Guards against a body that is kept alive by a byte now and then.
test("bodies of one byte a packet stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) => client.trickle(TRICKLE_MILLISECONDS),
  }));

// Guards against answers that pile up before clients that only ask.
test("requests whose answers nobody reads stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) => client.askWithoutReading(),
  }));

// Guards against connections that leave a gateway no descriptor for backend
// servers and control hosts.
test("many connections leave a gateway descriptors for its own", () =>
  playUnrulyCrowd({
    machine: FEW_DESCRIPTORS,
    port: "frontend",
    clients: 1_000,
    act: (client, index) => {
      if (index % 3 === 0) client.socket.end();
      if (index % 3 === 1) client.stopWithinHead();
    },
  }));

// Guards against bodies at a control host, as for a gateway.
test("bodies that stop short of their end stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "control",
    clients: 100,
    act: (client) =>
      client.stopShort(LARGE_CHUNK_BYTES, MAX_BODY_BYTES - LARGE_CHUNK_BYTES),
  }));

// Guards against chunks of one byte at a control host, as for a gateway.
test("chunks of one byte stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "control",
    clients: 30,
    act: (client) => client.stopShort(1, 300_000),
  }));

// Guards against a control host that reads on behind a refusal.
test("bodies that go on behind their refusal stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "control",
    clients: 100,
    act: (client) => client.announce(ANNOUNCED_BYTES),
  }));

// Guards against connections that leave a control host none for its own.
test("many connections leave a control host descriptors for its own", () =>
  playUnrulyCrowd({
    machine: FEW_DESCRIPTORS,
    port: "control",
    clients: 1_000,
    act: (client, index) => {
      if (index % 3 === 0) client.socket.end();
      if (index % 3 === 1) client.stopWithinHead();
    },
  }));

for (const port of ["ready", "metrics"] as const) {
  // Guards against a port that needs no body and reads one without an end.
  test(`chunks without an end at the ${port} port stay within memory`, () =>
    playUnrulyCrowd({
      machine: GATEWAY,
      port,
      clients: 100,
      act: (client) => client.sendChunks(LARGE_CHUNK_BYTES),
    }));

  // Guards against connections at a port that a few callers need.
  test(`many connections at the ${port} port leave descriptors`, () =>
    playUnrulyCrowd({
      machine: FEW_DESCRIPTORS,
      port,
      clients: 1_000,
      act: () => undefined,
    }));
}

// Guards against connections at the port between hosts, as for callers.
test("many connections at the internal port leave descriptors", () =>
  playUnrulyCrowd({
    machine: FEW_DESCRIPTORS,
    port: "internal",
    clients: 1_000,
    act: () => undefined,
  }));
