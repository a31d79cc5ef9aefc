import { test } from "node:test";
import { playUnrulyCrowd } from "./unruly_crowd.ts";

/** The smallest machines of each kind that are known. */
const GATEWAY = { memoryMb: 250, maxFds: 4_100 };
const CONTROL = { memoryMb: 346, maxFds: 4_096 };
const STAGER = { memoryMb: 218, maxFds: 1_494 };

const LARGE_CONFIGURATION_ROUTES = 1_600;
const LARGE_ANSWER_BYTES = 1_000_000;
const REQUESTS_OF_A_BROWSER = 6;
/** Beyond the time that a head may take, and the interval of its checks. */
const LATE_MILLISECONDS = 2_500;
/** Fewer than are given up for their number, where there are no others. */
const REQUESTS_OF_EACH = 150;
/** Each chunk that the store has, as often as one request may name chunks. */
const ALL_CHUNKS = Array.from({ length: 64 }, (_, index) => index % 6);

// Guards against configurations that pile up before operators who only ask.
test("configurations that nobody reads stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "control",
    request: "GET /config",
    extraRoutes: LARGE_CONFIGURATION_ROUTES,
    clients: 100,
    act: (client) => client.askWithoutReading(),
  }));

// Guards against answers that a gateway is handing on, before clients that read none.
test("long answers that nobody reads stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    request: "GET /look/x",
    answerBytes: LARGE_ANSWER_BYTES,
    clients: 400,
    act: (client) => client.askWithoutReadingTimes(REQUESTS_OF_A_BROWSER),
  }));

// Guards against chunks of weights that pile up before who only asks.
test("chunks that nobody reads stay within a stager's memory", () =>
  playUnrulyCrowd({
    machine: STAGER,
    port: "chunks",
    request: `GET /chunks/model-1@1/${ALL_CHUNKS.join(",")}`,
    clients: 100,
    act: (client) => client.askWithoutReading(),
  }));

for (const port of ["ready", "metrics"] as const) {
  // Guards against answers that pile up at a port that a few callers need.
  test(`answers that nobody reads at the ${port} port stay within memory`, () =>
    playUnrulyCrowd({
      machine: GATEWAY,
      port,
      request: port === "ready" ? "GET /readyz" : "GET /metrics",
      clients: 100,
      act: (client) => client.askWithoutReading(),
    }));
}

// Guards against requests behind each other that are few on each connection, and
// many on all.
test("requests behind each other on many connections stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 500,
    act: (client) => client.askWithoutReadingTimes(REQUESTS_OF_EACH),
  }));

// Guards against requests that are read on a connection whose refusal was sent,
// as they come too late.
test("requests behind a refusal for time stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "frontend",
    clients: 100,
    act: (client) => client.askLate(LATE_MILLISECONDS),
  }));
