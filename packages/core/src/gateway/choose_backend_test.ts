import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { BackendCandidate } from "./backend_candidate.ts";
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

type BackendFixture = {
  instance: string;
  dataCentre?: string;
  inFlight?: number;
  pendingTokens?: number;
  cold?: number;
};

function candidate(fixture: BackendFixture): BackendCandidate {
  const record = new BackendRecord();
  record.inFlight = fixture.inFlight ?? 0;
  record.pendingPromptTokens = fixture.pendingTokens ?? 0;
  return {
    record,
    announcement: {
      instance: fixture.instance,
      service: "s",
      address: "10.0.0.1:80",
      dataCentre: fixture.dataCentre ?? "here",
      slots: 16,
      state: "ready",
      bornAt: 1,
      sequence: 1,
      coldMilliseconds: fixture.cold ?? 0,
      models: [],
    },
  };
}

function choose(...fixtures: BackendFixture[]): string | undefined {
  return chooseBackend(fixtures.map(candidate), {
    dataCentre: "here",
    promptTokens: 1_000,
    home: new Set(),
    engine: ENGINE,
    random: () => 0.5,
    now: 0,
  })?.announcement.instance;
}

test("a local backend server is chosen unless a remote one has far less load", () => {
  // Traffic between data centres is expensive. Loads always differ a little,
  // and differ a lot when the backend servers of one data centre fail.
  const far = { instance: "far", dataCentre: "there" };
  assert.equal(choose(far, { instance: "near", inFlight: 2 }), "near");
  assert.equal(choose(far, { instance: "near", inFlight: 8 }), "far");
});

test("a free remote slot is preferred to waiting for a local slot", () => {
  // The load of one data centre exceeds the capacity of its engines, while the
  // engines of another have some capacity left.
  const far = { instance: "far", dataCentre: "there", inFlight: 12 };
  assert.equal(choose(far, { instance: "near", inFlight: 16 }), "far");
  assert.equal(choose(far, { instance: "near", inFlight: 15 }), "near");
});

test("pending prompts count as load", () => {
  // A burst of long prompts reaches one engine. The first event of the next
  // request would wait until all are prefilled, even if few slots are in use.
  const reading = { instance: "reading", inFlight: 2, pendingTokens: 9_000 };
  assert.equal(
    choose(reading, { instance: "writing", inFlight: 5 }),
    "writing",
  );
});

test("a backend server that has just started gets fewer requests", () => {
  const cold = { instance: "cold", cold: 500 };
  assert.equal(choose(cold, { instance: "warm", inFlight: 3 }), "warm");
  assert.equal(choose(cold, { instance: "warm", inFlight: 12 }), "cold");
  assert.equal(choose(), undefined);
});

// Thirteen hosts continually receive the same loads. One engine had a few
// requests less than the others: all hosts sent to it at once, and the prompts
// of a whole data centre waited for prefill at one engine.
test("hosts with the same load reports don't all choose the same engine", () => {
  const random = createSeededRandom(3);
  const engines = Array.from(
    { length: 8 },
    (_, index) =>
      candidate({ instance: `e${index}`, inFlight: index === 0 ? 4 : 8 }),
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
    })!.announcement.instance;
    taken.set(chosen, (taken.get(chosen) ?? 0) + 1);
  }
  const most = Math.max(...taken.values());
  assert.ok(most < 800 / 3, `${most} of 800 to one of eight`);
  assert.equal(taken.size, 8);
});

// Dozens of hosts send to dozens of engines whose load reports arrive late.
// Guards against each host spreading its requests evenly over all of them.
test("home backend servers are chosen unless another is much less loaded", () => {
  const chooseFrom = (homeLoad: number, otherLoad: number) => {
    const fixtures = [
      { instance: "home", inFlight: homeLoad },
      { instance: "other", inFlight: otherLoad },
    ];
    return chooseBackend(fixtures.map(candidate), {
      dataCentre: "here",
      promptTokens: 1_000,
      engine: ENGINE,
      home: new Set(["home"]),
      random: () => 0.5,
      now: 0,
    })?.announcement.instance;
  };
  assert.equal(chooseFrom(6, 4), "home");
  assert.equal(chooseFrom(8, 4), "other");
});

test("an engine with fewer pending prompts wins despite more requests", () => {
  // Prefill takes nearly half of the engines' time, and seven in ten slots are
  // in use: pending prefill decides which engine responds first.
  const reading = { instance: "reading", inFlight: 3, pendingTokens: 3_000 };
  const writing = { instance: "writing", inFlight: 8 };
  assert.equal(choose(reading, writing), "writing");
});
