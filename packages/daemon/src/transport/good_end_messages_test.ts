import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import {
  CrashNewsSchema,
  type GoodEnds,
  GoodEndsSchema,
} from "@teaselrouter/messages/follow.ts";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeCrashReport } from "./decode_crash_report.ts";
import { decodeGoodEnds } from "./decode_good_ends.ts";
import { decodePartWatch } from "./decode_part_watch.ts";
import { encodeCrashReport } from "./encode_crash_report.ts";
import { encodeGoodEnds } from "./encode_good_ends.ts";
import { encodePartWatch } from "./encode_part_watch.ts";

const SENT_AT = 1_000_000;
/** The receiver's clock stands elsewhere. */
const RECEIVED_AT = 5_000_000;
const SHIFT = RECEIVED_AT - SENT_AT;
const MAX_WATCHED_PARTS = 512;
const SEED = 7;
const RUNS = 500;

function pass(message: GoodEnds): GoodEnds {
  return fromBinary(GoodEndsSchema, toBinary(GoodEndsSchema, message));
}

// Guards against a host that takes another's times for its own.
test("good ends arrive as they were sent, by the receiver's clock", () => {
  const news: GoodEndNews = {
    totals: { count: 7, runMilliseconds: 900 },
    starts: [{ part: "a", totals: { count: 0, runMilliseconds: 0 } }],
    ends: [{ part: "b", sentAt: SENT_AT - 300, endedAt: SENT_AT - 20 }],
  };
  const message = pass(encodeGoodEnds("g@1", news, SENT_AT));
  assert.equal(message.source, "g@1");
  assert.deepEqual(decodeGoodEnds(message, RECEIVED_AT), {
    ...news,
    ends: [{
      part: "b",
      sentAt: SENT_AT - 300 + SHIFT,
      endedAt: SENT_AT - 20 + SHIFT,
    }],
  });
  const watch = { part: "a", since: SENT_AT - 50 };
  assert.deepEqual(
    decodePartWatch(encodePartWatch(watch, SENT_AT), RECEIVED_AT),
    { part: "a", since: SENT_AT - 50 + SHIFT },
  );
});

// Guards against a report without the time since its sending, as of an entry host
// or an earlier version, that is taken for one of a request sent at the end.
test("how long ago a request was sent is told, or not known", () => {
  const report = {
    fingerprint: "one",
    incarnation: "a@1",
    begunMilliseconds: undefined,
  };
  const sentOf = (sentMilliseconds?: number) => {
    const known = sentMilliseconds === undefined ? {} : { sentMilliseconds };
    const news = create(CrashNewsSchema, {
      reports: [encodeCrashReport({ ...report, ...known }, SENT_AT)],
    });
    const bytes = toBinary(CrashNewsSchema, news);
    const [arrived] = fromBinary(CrashNewsSchema, bytes).reports;
    return decodeCrashReport(arrived!, RECEIVED_AT).sentMilliseconds;
  };
  assert.equal(sentOf(250), 250);
  assert.equal(sentOf(0), 0);
  assert.equal(sentOf(), undefined);
  assert.equal(sentOf(NaN), undefined);
  assert.equal(sentOf(-1), undefined);
});

const number = fc.oneof(
  fc.double(),
  fc.constantFrom(NaN, Infinity, -Infinity, -1, 0, 1e308),
);
const totals = fc.option(
  fc.record({ count: number, runMilliseconds: number }),
  { nil: undefined },
);
const oddGoodEnds = fc.record({
  source: fc.string(),
  totals,
  starts: fc.array(fc.record({ part: fc.string(), totals })),
  ends: fc.array(
    fc.record({
      part: fc.string(),
      sentAgeMilliseconds: number,
      endedAgeMilliseconds: number,
    }),
  ),
});

// Guards against a peer whose odd numbers clear a part of crashes to come, or
// count against a part for good.
test("whatever a peer tells, good ends are past and counts are numbers", () => {
  const isCount = (value: number) => Number.isFinite(value) && value >= 0;
  const isPast = (time: number) => Number.isFinite(time) && time <= RECEIVED_AT;
  fc.assert(
    fc.property(oddGoodEnds, (odd) => {
      const message = pass(create(GoodEndsSchema, odd));
      const { totals, starts, ends } = decodeGoodEnds(message, RECEIVED_AT);
      for (const each of [totals, ...starts.map(({ totals }) => totals)]) {
        assert.ok(isCount(each.count) && isCount(each.runMilliseconds));
      }
      for (const { sentAt, endedAt } of ends) {
        assert.ok(isPast(sentAt) && isPast(endedAt));
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
  const part = { part: "a", sinceAgeMilliseconds: NaN };
  const watch = decodePartWatch(
    { $typeName: "teaselrouter.v1.PartWatch", ...part },
    RECEIVED_AT,
  );
  assert.equal(watch.since, RECEIVED_AT);
});

// Guards against a peer that fills memory: nobody watches more parts.
test("no more parts are taken than are watched", () => {
  const many = Array.from({ length: 5_000 }, (_, index) => `part-${index}`);
  const message = create(GoodEndsSchema, {
    starts: many.map((part) => ({ part, totals: {} })),
    ends: many.map((part) => ({ part })),
  });
  const { starts, ends } = decodeGoodEnds(message, RECEIVED_AT);
  assert.equal(starts.length, MAX_WATCHED_PARTS);
  assert.equal(ends.length, MAX_WATCHED_PARTS);
});
