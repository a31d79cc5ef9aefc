import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { isProcessEnd } from "./is_process_end.ts";
import type { ResolvedBreak } from "./resolved_break.ts";
import { UnresolvedBreaks } from "./unresolved_breaks.ts";

const ADDRESS = "10.0.0.1:80";

function startOf(instance: string, bornAt: number): BackendAnnouncement {
  return {
    instance,
    service: "s",
    address: ADDRESS,
    dataCentre: "here",
    slots: 1,
    state: "ready",
    bornAt,
    sequence: 1,
    coldMilliseconds: 0,
    models: [],
  };
}

const ONE = startOf("one", 1);

/** Verdicts with the requests that they concern. */
function describe(resolved: ResolvedBreak<string>[]): string[] {
  return resolved.map(({ verdict, interrupted }) =>
    `${interrupted.join("+")} ${verdict}`
  );
}

/** Breaks of `ONE`: one of request "a", sent at 900, at 1,000. */
function breakAt1000(): UnresolvedBreaks<string> {
  const breaks = new UnresolvedBreaks<string>();
  breakOff(breaks, "a", { sentAt: 900, now: 1_000 });
  return breaks;
}

function breakOff(
  breaks: UnresolvedBreaks<string>,
  interrupted: string,
  times: { sentAt: number; now: number },
) {
  return breaks.add({ announcement: ONE, interrupted, ...times });
}

// Guards against an end that is evidence for nobody because the port accepts
// connections again, or goes on to.
for (const next of [startOf("two", 2), startOf("one", 2)]) {
  test(`the news of a later start as ${next.instance} proves an end, seconds later`, () => {
    const breaks = breakAt1000();
    assert.deepEqual(breaks.expire(15_000), []);
    const resolved = breaks.recordStart(next, 15_500);
    assert.deepEqual(describe(resolved), ["a replaced"]);
    assert.equal(breaks.size, 0);
  });
}

test("a start that is told without a name proves an end", () => {
  const start = { address: ADDRESS, instance: undefined, bornAt: 2 };
  const resolved = breakAt1000().recordStart(start, 1_200);
  assert.deepEqual(describe(resolved), ["a replaced"]);
});

// Guards against taking late words of the same or an earlier start, or of other
// addresses, for the news of a next one.
test("an earlier start, the same one and one elsewhere prove nothing", () => {
  const breaks = breakAt1000();
  for (
    const start of [
      startOf("zero", 0),
      ONE,
      startOf("two", 1),
      { ...startOf("two", 2), address: "10.0.0.2:80" },
    ]
  ) {
    assert.deepEqual(breaks.recordStart(start, 1_200), []);
  }
  assert.equal(breaks.size, 1);
});

// Guards against blaming requests whose connection alone was reset, where the
// server is restarted for another reason later.
test("a process that goes on with an answer from before didn't end", () => {
  const breaks = breakAt1000();
  const resolved = breaks.recordAnswer(ONE, { sentAt: 950, now: 1_300 });
  assert.deepEqual(describe(resolved), ["a goes-on"]);
  assert.deepEqual(breaks.recordStart(startOf("two", 2), 2_000), []);
});

// Guards against taking what a busy host reads late for a sign of life.
test("what arrives with the break shows nothing", () => {
  const breaks = breakAt1000();
  assert.deepEqual(
    breaks.recordAnswer(ONE, { sentAt: 950, now: 1_100 }),
    [],
  );
  const resolved = breaks.recordStart(startOf("two", 2), 1_200);
  assert.deepEqual(describe(resolved), ["a replaced"]);
});

test("an instance that answers later requests, and is then replaced, had gone on", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 1_100, now: 1_200 });
  const resolved = breaks.recordStart(startOf("two", 2), 2_000);
  assert.deepEqual(describe(resolved), ["a answers"]);
});

// Guards against taking the answers of a next start under the same name for
// those of the process that ended.
test("an answer under a name that is used again waits for the news of a start", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 1_100, now: 1_200 });
  assert.deepEqual(breaks.expire(4_000), []);
  const resolved = breaks.recordStart(startOf("one", 2), 4_100);
  assert.deepEqual(describe(resolved), ["a replaced"]);
});

test("an instance that answers, and of which no later start is heard, goes on", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 1_100, now: 1_200 });
  assert.deepEqual(describe(breaks.expire(4_300)), ["a answers"]);
});

test("another instance's answer at the address proves an end", () => {
  const resolved = breakAt1000().recordMisdirection(ONE);
  assert.deepEqual(describe(resolved), ["a misdirected"]);
});

// Guards against blaming requests that a port without a process closed.
test("what is broken off after the end doesn't count", () => {
  const breaks = breakAt1000();
  breakOff(breaks, "b", { sentAt: 1_200, now: 1_201 });
  const resolved = breaks.recordStart(startOf("two", 2), 2_000);
  assert.deepEqual(describe(resolved), ["a replaced", "b after-end"]);
});

// Guards against evidence against whoever is sent to a port without a process once
// its end has been proved.
test("what is broken off behind a proved end doesn't count, until it answers", () => {
  const breaks = breakAt1000();
  const first = breakOff(breaks, "b", { sentAt: 1_100, now: 1_101 })!;
  breaks.recordClosing(first);
  const behind = { sentAt: 1_300, now: 1_301 };
  assert.equal(breakOff(breaks, "c", behind), undefined);
  assert.equal(breaks.size, 0);
  breaks.recordAnswer(ONE, { sentAt: 1_400, now: 1_500 });
  assert.ok(breakOff(breaks, "d", { sentAt: 1_600, now: 1_700 }));
});

test("of two breaks the end is the one that nothing outlived", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 950, now: 1_300 });
  breakOff(breaks, "b", { sentAt: 1_200, now: 1_400 });
  const resolved = breaks.recordStart(startOf("two", 2), 2_000);
  assert.deepEqual(describe(resolved), ["b replaced"]);
});

// Guards against evidence that goes to a reset alone, where the server ended soon
// after it under other requests and is back under its name.
test("of breaks between which a name that is used again answered, all count", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 1_100, now: 1_200 });
  breakOff(breaks, "b", { sentAt: 1_900, now: 2_000 });
  breakOff(breaks, "c", { sentAt: 2_050, now: 2_060 });
  const resolved = breaks.recordStart(startOf("one", 2), 2_100);
  assert.deepEqual(describe(resolved), [
    "a replaced",
    "b replaced",
    "c after-end",
  ]);
});

test("a port that refuses proves the latest break to be the end", () => {
  const breaks = breakAt1000();
  const last = breakOff(breaks, "b", { sentAt: 1_200, now: 1_400 });
  const resolved = breaks.recordRefusal(last!);
  assert.deepEqual(describe(resolved), ["a goes-on", "b refuses"]);
});

// Guards against a proof that comes only seconds later, where whoever holds the
// port closes each connection until the next start.
test("a port that closes connections proves the first break to be the end", () => {
  const breaks = breakAt1000();
  const last = breakOff(breaks, "b", { sentAt: 1_200, now: 1_201 });
  const resolved = breaks.recordClosing(last!);
  assert.deepEqual(describe(resolved), ["a closes", "b after-end"]);
});

test("a server that closes connections, and answers, goes on", () => {
  const breaks = breakAt1000();
  breaks.recordAnswer(ONE, { sentAt: 1_100, now: 1_200 });
  const last = breakOff(breaks, "b", { sentAt: 1_250, now: 1_251 });
  assert.deepEqual(breaks.recordClosing(last!), []);
});

test("requests that one end broke off are one break, though read late", () => {
  const breaks = breakAt1000();
  breakOff(breaks, "b", { sentAt: 1_010, now: 1_020 });
  breakOff(breaks, "c", { sentAt: 950, now: 1_140 });
  const resolved = breaks.recordStart(startOf("two", 2), 1_200);
  assert.deepEqual(describe(resolved), ["a+b+c replaced"]);
});

// Guards against blaming requests that a release or a planned stop broke off.
test("a backend server that was to leave ended as planned", () => {
  const breaks = breakAt1000();
  assert.deepEqual(describe(breaks.recordDeparture(ONE)), ["a departed"]);
  assert.deepEqual(breaks.recordStart(startOf("two", 2), 1_200), []);
});

test("a break of which nothing is heard is given up in time", () => {
  const breaks = breakAt1000();
  assert.deepEqual(describe(breaks.expire(16_001)), ["a unproved"]);
  assert.equal(breaks.size, 0);
});

test("under a flood of breaks the oldest are given up", () => {
  const breaks = new UnresolvedBreaks<number>();
  for (let index = 0; index < 1_030; index += 1) {
    const announcement = startOf(`instance-${index}`, 1);
    const times = { sentAt: index, now: 1_000 + index };
    breaks.add({ announcement, interrupted: index, ...times });
  }
  const given = breaks.expire(2_100).flatMap(({ interrupted }) => interrupted);
  assert.deepEqual(given, [0, 1, 2, 3, 4, 5]);
});

/** What may happen at one address, in any order. */
const eventArbitrary = fc.record({
  kind: fc.constantFrom(
    "break",
    "start",
    "answer",
    "refusal",
    "closing",
    "misdirection",
    "departure",
    "expiry",
  ),
  name: fc.constantFrom("one", "two"),
  bornAt: fc.integer({ min: 0, max: 4 }),
  after: fc.integer({ min: 0, max: 2_000 }),
  age: fc.integer({ min: 0, max: 3_000 }),
});

// Guards against evidence that is counted twice, or lost without a verdict, and
// against ends that nothing has proved.
test("each broken request gets one verdict, an end only by a proof, in any order", () => {
  fc.assert(fc.property(
    fc.array(eventArbitrary, { maxLength: 40 }),
    (events) => {
      const breaks = new UnresolvedBreaks<number>();
      const verdicts = new Map<number, string>();
      /** Gathered with others, or broken off behind an end. */
      const uncertain = new Set<number>();
      let added = 0;
      let now = 10_000;
      const settle = (
        resolved: ResolvedBreak<number>[],
        mayBeEnd: boolean,
      ) => {
        for (const { interrupted, verdict } of resolved) {
          assert.ok(mayBeEnd || !isProcessEnd(verdict), verdict);
          for (const request of interrupted) {
            assert.ok(!verdicts.has(request));
            verdicts.set(request, verdict);
          }
        }
      };
      for (const { kind, name, bornAt, after, age } of events) {
        now += after;
        const announcement = startOf(name, bornAt);
        const sentAt = now - age;
        if (kind === "start") {
          settle(breaks.recordStart(announcement, now), true);
        }
        if (kind === "misdirection") {
          settle(breaks.recordMisdirection(announcement), true);
        }
        if (kind === "answer") {
          settle(breaks.recordAnswer(announcement, { sentAt, now }), false);
        }
        if (kind === "departure") {
          settle(breaks.recordDeparture(announcement), false);
        }
        if (kind === "expiry") settle(breaks.expire(now), false);
        if (!["break", "refusal", "closing"].includes(kind)) continue;
        const interrupted = added++;
        const before = breaks.size;
        const broken = breaks.add({ announcement, interrupted, sentAt, now });
        const isGathered = broken === undefined && breaks.size === before;
        if (isGathered) uncertain.add(interrupted);
        if (kind === "refusal" && broken !== undefined) {
          settle(breaks.recordRefusal(broken), true);
        }
        if (kind === "closing" && broken !== undefined) {
          settle(breaks.recordClosing(broken), true);
        }
      }
      settle(breaks.expire(now + 60_000), false);
      for (let request = 0; request < added; request += 1) {
        assert.ok(verdicts.has(request) || uncertain.has(request));
      }
      assert.equal(breaks.size, 0);
    },
  ));
});
