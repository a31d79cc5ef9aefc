import { create } from "@bufbuild/protobuf";
import {
  BackendSchema,
  BackendState,
  type ControlUpdate,
  DepartureSchema,
  EngineLoadSchema,
  EngineNoticeSchema,
} from "@teaselrouter/messages/follow.ts";
import fc from "fast-check";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const UPDATES = 600;
const SEED = 74;
/** Errors that subscribers throw reach the process in a later turn. */
const TURN_MILLISECONDS = 50;
const SAFE_REQUEST =
  "GET /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\nConnection: close\r\n\r\n";

const number = fc.oneof(
  fc.double(),
  fc.constantFrom(NaN, Infinity, -1, 0.5, 1e308, Number.MAX_SAFE_INTEGER),
);
const count = fc.integer({ min: 0, max: 4_294_967_295 });
const address = fc.oneof(
  fc.string(),
  fc.constantFrom(
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "999.0.0.1:80",
    "127.0.0.1",
    "[::",
  ),
);
const instance = fc.oneof(fc.string(), fc.constant("i".repeat(600)));
const state = fc.constantFrom(
  BackendState.UNSPECIFIED,
  BackendState.READY,
  BackendState.LEAVING,
  BackendState.GONE,
);

/** What a control host may tell, with values that can't be right. */
const update: fc.Arbitrary<ControlUpdate["body"]> = fc.oneof(
  fc.record({
    instance,
    service: fc.constantFrom("s", ""),
    address,
    dataCentre: fc.string(),
    slots: number,
    state,
    bornAt: number,
    sequence: number,
    coldMilliseconds: number,
    models: fc.array(fc.record({ name: fc.string(), version: number })),
  }).map((backend) => ({
    case: "backends" as const,
    value: {
      $typeName: "teaselrouter.v1.BackendChanges" as const,
      whole: false,
      backends: [create(BackendSchema, backend)],
    },
  })),
  fc.record({ instance, sequence: number, state, at: number }).map((each) => ({
    case: "departures" as const,
    value: {
      $typeName: "teaselrouter.v1.Departures" as const,
      departures: [create(DepartureSchema, each)],
    },
  })),
  fc.record({
    engineAddress: address,
    accepting: fc.boolean(),
    servingVersion: fc.string(),
    sequence: number,
    engineBornAt: number,
  }).map((notice) => ({
    case: "engines" as const,
    value: {
      $typeName: "teaselrouter.v1.EngineNotices" as const,
      notices: [create(EngineNoticeSchema, notice)],
    },
  })),
  fc.record({ engineAddress: address, running: count, waiting: count })
    .map((load) => ({
      case: "loads" as const,
      value: {
        $typeName: "teaselrouter.v1.EngineLoads" as const,
        loads: [create(EngineLoadSchema, load)],
      },
    })),
  fc.record({ model: fc.string(), version: number, ageMilliseconds: number })
    .map((named) => ({
      case: "weights" as const,
      value: { $typeName: "teaselrouter.v1.NamedWeights" as const, ...named },
    })),
  fc.record({ version: number, document: fc.uint8Array() }).map((routing) => ({
    case: "routing" as const,
    value: {
      $typeName: "teaselrouter.v1.RoutingDocument" as const,
      version: Math.min(routing.version, 0),
      document: Uint8Array.from(routing.document),
    },
  })),
);

// Guards against a gateway that ends, or stops following, at an odd entry that
// another host passes on, as one of an earlier version may.
test("whatever a control host tells, a gateway follows on and answers", async (context) => {
  const uncaught: unknown[] = [];
  const keep = (error: unknown) => void uncaught.push(error);
  process.on("uncaughtException", keep);
  context.after(() => process.off("uncaughtException", keep));
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.on(
        "data",
        () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
      ),
  });
  context.after(() => gateway.close());
  for (const body of fc.sample(update, { numRuns: UPDATES, seed: SEED })) {
    gateway.tell(body);
  }
  await sleep(TURN_MILLISECONDS);
  assert.deepEqual(uncaught, []);
  const client = new RawClient(gateway.port, SAFE_REQUEST);
  assert.match(await client.readToEnd(), /^HTTP\/1.1 200 [\s\S]*ok$/);
});
