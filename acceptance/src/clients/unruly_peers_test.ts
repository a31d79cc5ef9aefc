import { test } from "node:test";
import { playUnrulyCrowd } from "./unruly_crowd.ts";

/** The smallest machines of each kind that are known. */
const GATEWAY = { memoryMb: 250, maxFds: 4_100 };
const CONTROL = { memoryMb: 346, maxFds: 4_096 };

const FORWARD = "/teaselrouter.v1.FollowService/Forward";
const FOLLOW = "/teaselrouter.v1.FollowService/Follow";
const TIMELINE = "/teaselrouter.v1.TimelineService/Read";
const STREAMS = 1_000;
const STREAM_BYTES = 10_000;
const EXPANDED_BYTES = 60_000_000;
const MESSAGES = 10;

// Guards against messages to a control host that never end: each is held until
// it is as large as any may be.
test("messages without an end stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "internal",
    host: "control-0",
    clients: 30,
    call: (peer) => peer.sendWithoutEnd(FORWARD),
  }));

// Guards against the same at a gateway.
test("messages without an end stay within a gateway's memory", () =>
  playUnrulyCrowd({
    machine: GATEWAY,
    port: "internal",
    clients: 30,
    call: (peer) => peer.sendWithoutEnd(TIMELINE),
  }));

// Guards against connections that each bear streams by the thousand.
test("streams that stop short of their end stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "internal",
    host: "control-0",
    clients: 30,
    call: (peer) => peer.stopShort(FOLLOW, STREAMS, STREAM_BYTES),
  }));

// Guards against messages that are small as sent and large as read.
test("messages that expand stay within a control host's memory", () =>
  playUnrulyCrowd({
    machine: CONTROL,
    port: "internal",
    host: "control-0",
    clients: 30,
    call: (peer) => peer.sendCompressed(FORWARD, MESSAGES, EXPANDED_BYTES),
  }));
