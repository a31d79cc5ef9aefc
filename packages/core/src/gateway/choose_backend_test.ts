import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../random/seeded_random.ts";
import type { BackendChoice } from "./backend_choice.ts";
import { BackendRecord } from "./backend_record.ts";
import { chooseBackend } from "./choose_backend.ts";
import type { EngineDefinition } from "./engine_definition.ts";

const ENGINE: EngineDefinition = {
  models: ["m"],
  slots: 16,
  contextTokens: 1_000_000,
  weightChunks: 48,
  weightChunkBytes: 49_152,
  stepMilliseconds: 7,
  stepPerRequestMilliseconds: 0.02,
  stepPerThousandTokensMilliseconds: 0.007,
  readTokensPerSecond: 30_000,
  stepsPerPass: 6,
  reportLagMilliseconds: 200,
};

type Place = {
  instance: string;
  dataCentre?: string;
  inFlight?: number;
  unread?: number;
  cold?: number;
};

function choice(place: Place): BackendChoice {
  const record = new BackendRecord();
  record.inFlight = place.inFlight ?? 0;
  record.unreadTokens = place.unread ?? 0;
  return {
    record,
    standing: {
      instance: place.instance,
      service: "s",
      address: "10.0.0.1:80",
      dataCentre: place.dataCentre ?? "here",
      slots: 16,
      state: "ready",
      bornAt: 1,
      sequence: 1,
      coldMilliseconds: place.cold ?? 0,
      models: [],
    },
  };
}

function choose(...places: Place[]): string | undefined {
  return chooseBackend(places.map(choice), {
    dataCentre: "here",
    promptTokens: 1_000,
    home: new Set(),
    engine: ENGINE,
    random: () => 0.5,
    now: 0,
  })?.standing.instance;
}

test("a near backend server is taken unless a far one is clearly emptier", () => {
  // Pattern: bytes between data centres are dear; load differs a little all
  // the time and a lot when one data centre's backend servers fail.
  const far = { instance: "far", dataCentre: "there" };
  assert.equal(choose(far, { instance: "near", inFlight: 2 }), "near");
  assert.equal(choose(far, { instance: "near", inFlight: 8 }), "far");
});

test("a slot that is free elsewhere goes before waiting for one here", () => {
  // Pattern: more is asked in one data centre than its engines carry, while
  // those of another have some room.
  const far = { instance: "far", dataCentre: "there", inFlight: 12 };
  assert.equal(choose(far, { instance: "near", inFlight: 16 }), "far");
  assert.equal(choose(far, { instance: "near", inFlight: 15 }), "near");
});

test("prompts that are still to be read count as what they hold up", () => {
  // Pattern: a burst of long prompts reaches one engine; the next request's
  // first event would wait for all of them, however few its slots in use.
  const reading = { instance: "reading", inFlight: 2, unread: 9_000 };
  assert.equal(
    choose(reading, { instance: "writing", inFlight: 5 }),
    "writing",
  );
});

test("one that just started is spared a little", () => {
  const cold = { instance: "cold", cold: 500 };
  assert.equal(choose(cold, { instance: "warm", inFlight: 3 }), "warm");
  assert.equal(choose(cold, { instance: "warm", inFlight: 12 }), "cold");
  assert.equal(choose(), undefined);
});

// Pattern: thirteen hosts hear the same loads every moment. One engine has a
// few requests less than the others: all hosts sent there at once, and prompts
// of a whole data centre waited at one engine to be read.
test("hosts that know the same loads don't all choose the same engine", () => {
  const random = seededRandom(3);
  const engines = Array.from(
    { length: 8 },
    (_, index) =>
      choice({ instance: `e${index}`, inFlight: index === 0 ? 4 : 8 }),
  );
  const taken = new Map<string, number>();
  for (let request = 0; request < 800; request += 1) {
    const chosen = chooseBackend(engines, {
      dataCentre: "here",
      promptTokens: 1_000,
      home: new Set(),
      engine: ENGINE,
      random,
      now: 0,
    })!.standing.instance;
    taken.set(chosen, (taken.get(chosen) ?? 0) + 1);
  }
  const most = Math.max(...taken.values());
  assert.ok(most < 800 / 3, `${most} of 800 to one of eight`);
  assert.equal(taken.size, 8);
});

// Pattern: dozens of hosts before dozens of engines, told of late. Guards
// against every host sending to all of them alike.
test("those sent to first are taken until another is clearly emptier", () => {
  const chooseFrom = (homeLoad: number, otherLoad: number) => {
    const places = [
      { instance: "home", inFlight: homeLoad },
      { instance: "other", inFlight: otherLoad },
    ];
    return chooseBackend(places.map(choice), {
      dataCentre: "here",
      promptTokens: 1_000,
      engine: ENGINE,
      home: new Set(["home"]),
      random: () => 0.5,
      now: 0,
    })?.standing.instance;
  };
  assert.equal(chooseFrom(6, 4), "home");
  assert.equal(chooseFrom(8, 4), "other");
});

test("an engine with prompts to read is left for one with more answers", () => {
  // Load: reading takes nearly half of engines' time, and seven in ten slots
  // are taken; which engine answers first is a matter of reading.
  const reading = { instance: "reading", inFlight: 3, unread: 3_000 };
  const writing = { instance: "writing", inFlight: 8 };
  assert.equal(choose(reading, writing), "writing");
});
