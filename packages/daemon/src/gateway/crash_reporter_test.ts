import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { create } from "@bufbuild/protobuf";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { CrashReporter } from "./crash_reporter.ts";
import type { EndedServer } from "./ended_server.ts";

/** Until a gateway on its own has decided: a part is judged within a second. */
const DECISION_MILLISECONDS = 1_300;
const MINUTE_MILLISECONDS = 60_000;
/** Several checks for good ends to tell of. */
const TELL_MILLISECONDS = 200;
/** More than a harmless part would let pass in three crashes. */
const SOUND_ANSWERS = 100;
const SOUND_MILLISECONDS = 150;

function callWith(id: string, ...sharedParts: string[]): AdmittedCall {
  return {
    id,
    path: "/x",
    workspace: "w",
    metadata: { sharedParts },
    body: Buffer.from(id),
  } as unknown as AdmittedCall;
}

function openReporter({ isConnected }: { isConnected: boolean }) {
  const ended$ = new Subject<EndedServer>();
  const updates$ = new Subject<CrashNews>();
  const published: CrashNews[] = [];
  const reporter = new CrashReporter({
    host: "gateway-1",
    isConnected: () => isConnected,
    ended$,
    updates$,
    publish: (news) => published.push(news),
    log: new EventLog("gateway", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
  });
  /** A crash under an answer with the part that had just begun. */
  const endUnder = (instance: string, at: number) =>
    ended$.next({
      announcement: { instance, bornAt: 1 } as BackendAnnouncement,
      interrupted: [{
        call: callWith(instance, "first", "harmful"),
        fingerprint: instance,
        begunMilliseconds: 20,
        sentMilliseconds: 45,
      }],
      at,
      verdict: "refuses",
    });
  const crashThree = () => {
    const now = monotonicMilliseconds();
    endUnder("a", now - 400);
    endUnder("b", now - 200);
    endUnder("c", now);
  };
  const answer = (...parts: string[]) =>
    reporter.recordSuccess(callWith("sound", ...parts), {
      sentAt: monotonicMilliseconds() - SOUND_MILLISECONDS,
      isStream: true,
    });
  const crashThreeAmongSound = () => {
    crashThree();
    for (let index = 0; index < SOUND_ANSWERS; index += 1) answer("other");
  };
  return {
    reporter,
    ended$,
    updates$,
    published,
    answer,
    crashThree,
    crashThreeAmongSound,
  };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against a gateway that keeps sending requests with a harmful part while
// it is disconnected from all control hosts.
test("a disconnected gateway blames a part", async () => {
  const { reporter, crashThreeAmongSound } = openReporter({
    isConnected: false,
  });
  crashThreeAmongSound();
  await sleep(DECISION_MILLISECONDS);
  const harmful = callWith("new", "first", "harmful");
  const blame = reporter.checkBlame(harmful);
  assert.equal(blame?.fingerprint, "part:first+part:harmful");
  assert.equal(reporter.mayRetry(harmful), false);
  assert.equal(reporter.checkBlame(callWith("sound", "first")), undefined);
  reporter.stop();
});

// Guards against blaming a sound part for what came with it.
test("a disconnected gateway doesn't blame a part that has a good end", async () => {
  const { reporter, answer, crashThreeAmongSound } = openReporter({
    isConnected: false,
  });
  crashThreeAmongSound();
  answer("first");
  await sleep(DECISION_MILLISECONDS);
  const blame = reporter.checkBlame(callWith("new", "first", "harmful"));
  assert.equal(blame?.fingerprint, "part:harmful");
  reporter.stop();
});

// Guards against control hosts that take a gateway's counts for those of its
// earlier run or of another gateway, or that don't hear of them when they come late.
test("a gateway tells of good ends as one run, and anew to those that follow", async () => {
  const { reporter, published, answer, crashThree } = openReporter({
    isConnected: true,
  });
  const { reporter: next, published: publishedNext, ...others } = openReporter({
    isConnected: true,
  });
  const countsTold = (news: CrashNews[]) =>
    news.flatMap(({ goodEnds }) => goodEnds?.totals?.count ?? []);
  const startsTold = (news: CrashNews[]) =>
    news.flatMap(({ goodEnds }) =>
      goodEnds?.starts.map(({ part, totals }) => `${part} ${totals!.count}`) ??
        []
    );
  answer("other");
  crashThree();
  others.crashThree();
  answer("first");
  await sleep(TELL_MILLISECONDS);
  assert.deepEqual(countsTold(published), [2]);
  assert.deepEqual(startsTold(published).sort(), ["first 2", "harmful 0"]);
  published.length = 0;
  reporter.currentNews();
  await sleep(TELL_MILLISECONDS);
  assert.deepEqual(startsTold(published).sort(), ["first 2", "harmful 0"]);
  const sources = [published, publishedNext].map((news) =>
    news.find(({ goodEnds }) => goodEnds !== undefined)!.goodEnds!.source
  );
  assert.notEqual(sources[0], sources[1]);
  for (const source of sources) assert.match(source, /^gateway-1@./);
  reporter.stop();
  next.stop();
});

// Guards against a gateway that blames a part whose good answers come at others.
test("a connected gateway leaves the blame of a part to control hosts", async () => {
  const { reporter, published, crashThreeAmongSound } = openReporter({
    isConnected: true,
  });
  crashThreeAmongSound();
  await sleep(DECISION_MILLISECONDS);
  const harmful = callWith("new", "first", "harmful");
  assert.equal(reporter.checkBlame(harmful), undefined);
  const reports = published.flatMap((news) => news.reports);
  assert.deepEqual(
    reports.map(({ sentMilliseconds }) => sentMilliseconds),
    [45, 45, 45],
  );
  assert.deepEqual(reports.map(({ parts }) => parts), [
    ["first", "harmful"],
    ["first", "harmful"],
    ["first", "harmful"],
  ]);
  reporter.stop();
});

// Guards against requests with a blamed part that wait at a gateway or a backend
// server, and against a trial run at a gateway that has no permit.
test("a told blame ends what is under way, and one trial needs a permit", () => {
  const { reporter, updates$, published } = openReporter({ isConnected: true });
  const aborted: string[] = [];
  for (const call of [callWith("waits", "bad", "x"), callWith("sound", "x")]) {
    reporter.watch({
      call,
      abort: () => aborted.push(call.id),
      progress: () => undefined,
    });
  }
  updates$.next(create(CrashNewsSchema, {
    blamed: [{
      fingerprint: "part:bad",
      crashes: 3,
      incarnations: ["a", "b", "c"],
      termMilliseconds: MINUTE_MILLISECONDS,
      leftMilliseconds: 0,
    }],
  }));
  assert.deepEqual(aborted, ["waits"]);
  const harmful = callWith("new", "bad");
  assert.ok(reporter.checkBlame(harmful), "its term is over, without a permit");
  assert.deepEqual(
    published.flatMap(({ trialsWanted }) => trialsWanted)
      .map(({ fingerprint, host }) => `${fingerprint} ${host}`),
    ["part:bad gateway-1"],
  );
  const permit = (host: string) =>
    updates$.next(create(CrashNewsSchema, {
      trialsPermitted: [{ fingerprint: "part:bad", host }],
    }));
  permit("gateway-2");
  assert.ok(reporter.checkBlame(harmful), "another gateway has the permit");
  permit("gateway-1");
  assert.equal(reporter.checkBlame(harmful), undefined);
  assert.ok(reporter.checkBlame(harmful), "one run only");
  reporter.stop();
});

// Guards against ends that a control host never hears of, as it was away or lost
// power when they were reported.
test("a control host that is followed anew is told of the latest ends", () => {
  const { reporter, crashThree } = openReporter({ isConnected: true });
  assert.equal(reporter.currentNews(), undefined);
  crashThree();
  const { reports = [] } = reporter.currentNews() ?? {};
  assert.deepEqual(
    reports.map(({ incarnation, parts }) => [incarnation, parts.join("+")]),
    [["a@1", "first+harmful"], ["b@1", "first+harmful"], [
      "c@1",
      "first+harmful",
    ]],
  );
  reporter.stop();
});

// Guards against answers of servers that run no models that speak against a part,
// and against streams without parts that don't.
test("streams count without parts, and plain answers don't", async () => {
  const { reporter, updates$, published } = openReporter({ isConnected: true });
  const sentAt = monotonicMilliseconds() - SOUND_MILLISECONDS;
  updates$.next(create(CrashNewsSchema, {
    watches: [{ part: "bad", sinceAgeMilliseconds: 5_000 }],
  }));
  reporter.recordSuccess(callWith("plain"), { sentAt, isStream: false });
  reporter.recordSuccess(callWith("stream"), { sentAt, isStream: true });
  reporter.recordSuccess(callWith("parts", "x"), { sentAt, isStream: false });
  await new Promise((resolve) => setTimeout(resolve, 200));
  reporter.stop();
  const counts = published.flatMap(({ goodEnds }) =>
    goodEnds?.totals?.count ?? []
  );
  assert.equal(counts.at(-1), 2);
});

// Guards against a crowd's harmful requests that are never reported, as their
// servers end before any of their answers has begun.
test("of many runs at one moment those that were sent last are reported", async () => {
  const { reporter, ended$, published } = openReporter({ isConnected: true });
  const at = monotonicMilliseconds();
  for (let server = 0; server < 5; server += 1) {
    const beside = Array.from({ length: 14 }, (_, index) => ({
      call: callWith(`beside-${server}-${index}`, "first"),
      fingerprint: `beside-${server}-${index}`,
      begunMilliseconds: 300 + index,
      sentMilliseconds: 600 + index,
    }));
    const unstarted = {
      call: callWith(`unstarted-${server}`, "first", "harmful"),
      fingerprint: `unstarted-${server}`,
      begunMilliseconds: undefined,
      sentMilliseconds: 200,
    };
    ended$.next({
      announcement: {
        instance: `server-${server}`,
        bornAt: 1,
      } as BackendAnnouncement,
      interrupted: [...beside, unstarted],
      at,
      verdict: "refuses",
    });
  }
  await sleep(TELL_MILLISECONDS);
  reporter.stop();
  const reported = published.flatMap(({ reports }) =>
    reports.map(({ fingerprint }) => fingerprint)
  );
  assert.ok(reported.length < 75, `${reported.length} of 75 are reported`);
  const harmful = reported.filter((name) => name.startsWith("unstarted"));
  assert.equal(harmful.length, 5);
});
