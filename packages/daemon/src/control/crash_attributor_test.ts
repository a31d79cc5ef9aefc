import { CrashNewsSchema } from "@teaselrouter/messages/follow.ts";
import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import { CrashAttributor } from "./crash_attributor.ts";

/** Of a gateway that follows. */
const SESSION = {};
/** More than a harmless part would let pass in three crashes. */
const SOUND_ANSWERS = 100;
/** Several decisions. */
const DECISION_MILLISECONDS = 600;

function openAttributor({ isLeading = false } = {}) {
  const attributor = new CrashAttributor({
    log: new EventLog("control", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
    isLeading: () => isLeading,
  });
  const told: string[] = [];
  attributor.suspicionNews$.subscribe(({ reports }) =>
    told.push(
      ...reports.map(({ fingerprint, incarnation }) =>
        `${fingerprint} ${incarnation}`
      ),
    )
  );
  const permitted: string[] = [];
  attributor.blameNews$.subscribe(({ trialsPermitted }) =>
    permitted.push(...trialsPermitted.map(({ host }) => host))
  );
  return { attributor, told, permitted };
}

function newsOf(fingerprint: string, incarnation: string) {
  return create(CrashNewsSchema, {
    reports: [{ fingerprint, incarnation, begunMilliseconds: 10 }],
  });
}

// Guards against gateways that each retry what has crashed two backend servers
// at other gateways.
test("a request at two crashes is told to gateways once", () => {
  const { attributor, told } = openAttributor();
  attributor.addLocalNews(newsOf("one", "a"), SESSION);
  assert.deepEqual(told, []);
  attributor.addRemoteNews(newsOf("one", "b"));
  attributor.addRemoteNews(newsOf("one", "b"));
  assert.deepEqual(told, ["one a", "one b"]);
  attributor.stop();
});

// Guards against gateways that followed this host before it knew its log again,
// as after a power loss, and are never told whom it suspects.
test("gateways that follow already are told of restored suspicions", () => {
  const { attributor, told } = openAttributor();
  attributor.restoreSuspicions([
    { fingerprint: "one", incarnations: ["a", "b"] },
  ]);
  assert.deepEqual(told, ["one a", "one b"]);
  attributor.stop();
});

function askForTrial(host: string) {
  return create(CrashNewsSchema, {
    trialsWanted: [{ fingerprint: "one", host }],
  });
}

// Guards against a trial run at each gateway at the same moment, when the term
// of a blame is over: each could end a backend server.
test("of the gateways that ask for a trial run, the leader permits one", () => {
  const leader = openAttributor({ isLeading: true });
  const other = openAttributor();
  for (const host of ["a", "b", "a"]) {
    for (const { attributor } of [leader, other]) {
      attributor.addLocalNews(askForTrial(host), SESSION);
    }
  }
  assert.deepEqual(leader.permitted, ["a"]);
  assert.deepEqual(other.permitted, []);
  const next = openAttributor({ isLeading: true });
  next.attributor.addRemoteNews(
    create(CrashNewsSchema, {
      trialsPermitted: [{ fingerprint: "one", host: "a" }],
    }),
  );
  next.attributor.addLocalNews(askForTrial("b"), SESSION);
  assert.deepEqual(next.permitted, [], "a new leader knows of it");
  for (const { attributor } of [leader, other, next]) attributor.stop();
});

function listBlameNews(attributor: CrashAttributor): string[] {
  const news: string[] = [];
  attributor.blameNews$.subscribe(({ cleared, blamed }) =>
    news.push(
      ...cleared.map((name) => `cleared ${name}`),
      ...blamed.map(({ fingerprint }) => `blamed ${fingerprint}`),
    )
  );
  return news;
}

function newsOfBlame(fingerprint: string, incarnations: string[]) {
  return create(CrashNewsSchema, {
    blamed: [{
      fingerprint,
      crashes: 3,
      incarnations,
      termMilliseconds: 60_000,
      leftMilliseconds: 50_000,
    }],
  });
}

function newsOfGoodEnd(part: string) {
  return create(CrashNewsSchema, {
    goodEnds: {
      source: "g@1",
      totals: { count: 1, runMilliseconds: 900 },
      ends: [{ part, sentAgeMilliseconds: 900, endedAgeMilliseconds: 0 }],
    },
  });
}

// Guards against a sound part that stays blamed: an answer that comes to its
// good end narrows the blame, or lifts it, for all gateways.
test("a good end frees the part of its blame", () => {
  const { attributor } = openAttributor();
  const news = listBlameNews(attributor);
  attributor.addLocalNews(
    newsOfBlame("part:a+part:b", ["x", "y", "z"]),
    SESSION,
  );
  attributor.addLocalNews(newsOfGoodEnd("a"), SESSION);
  attributor.addLocalNews(newsOfGoodEnd("b"), SESSION);
  attributor.stop();
  assert.deepEqual(news, [
    "blamed part:a+part:b",
    "cleared part:a+part:b",
    "blamed part:b",
    "cleared part:b",
  ]);
});

// Guards against a gateway that was cut off while a wrong blame was lifted, and
// brings it back for all.
test("a lifted blame that a gateway still holds is cleared there", () => {
  const { attributor } = openAttributor();
  const kept: string[] = [];
  attributor.blamed$.subscribe(({ fingerprint }) => kept.push(fingerprint));
  attributor.addLocalNews(newsOfBlame("part:a", ["x", "y", "z"]), SESSION);
  attributor.addLocalNews(newsOfGoodEnd("a"), SESSION);
  const news = listBlameNews(attributor);
  kept.length = 0;
  attributor.addLocalNews(newsOfBlame("part:a", ["x", "y", "z"]), SESSION);
  assert.deepEqual(news, ["cleared part:a"]);
  assert.deepEqual(kept, []);
  attributor.addLocalNews(newsOfBlame("part:a", ["x", "y", "new"]), SESSION);
  assert.deepEqual(news, ["cleared part:a", "blamed part:a"]);
  assert.deepEqual(kept, ["part:a"]);
  attributor.stop();
});

function listPassedOn(attributor: CrashAttributor): string[] {
  const passedOn: string[] = [];
  attributor.blameNews$.subscribe(({ partGoodEnds }) =>
    passedOn.push(...partGoodEnds.map(({ part }) => part))
  );
  return passedOn;
}

// Guards against control hosts that don't hear what clears a part, or that pass it
// on to each other again and again.
test("a good end that frees a part is passed on by the host that a gateway tells", () => {
  const first = openAttributor().attributor;
  const second = openAttributor().attributor;
  for (const attributor of [first, second]) {
    attributor.addRemoteNews(newsOfBlame("part:a", ["x", "y", "z"]));
  }
  const passedByFirst = listPassedOn(first);
  const passedBySecond = listPassedOn(second);
  const news = listBlameNews(second);
  first.blameNews$.subscribe(({ partGoodEnds }) =>
    second.addRemoteNews(create(CrashNewsSchema, { partGoodEnds }))
  );
  first.addLocalNews(newsOfGoodEnd("a"), SESSION);
  first.addLocalNews(newsOfGoodEnd("a"), SESSION);
  first.addLocalNews(newsOfGoodEnd("other"), SESSION);
  for (const attributor of [first, second]) attributor.stop();
  assert.deepEqual(passedByFirst, ["a"]);
  assert.deepEqual(passedBySecond, []);
  assert.deepEqual(news, ["cleared part:a"]);
});

/** Three crashes under one part, and what a gateway has counted meanwhile. */
function tellHarmful(attributor: CrashAttributor, session: object): void {
  for (const [index, incarnation] of ["x", "y", "z"].entries()) {
    const reports = [{
      fingerprint: incarnation,
      incarnation,
      parts: ["harmful"],
      begunMilliseconds: 20,
      sentMilliseconds: 45,
      ageMilliseconds: 1_000 - 100 * index,
    }];
    attributor.addLocalNews(create(CrashNewsSchema, { reports }), session);
  }
  tellCount(attributor, session, 0);
}

function tellCount(
  attributor: CrashAttributor,
  session: object,
  count: number,
): void {
  const none = { count: 0, runMilliseconds: 0 };
  const goodEnds = {
    source: "g@1",
    totals: { count, runMilliseconds: 150 * count },
    starts: [{ part: "harmful", totals: none }],
  };
  attributor.addLocalNews(create(CrashNewsSchema, { goodEnds }), session);
}

// Guards against counts of a gateway that is gone, and can't tell of good ends on a
// part any more, and against losing those of one that follows anew.
test("what a gateway has counted stands while a session tells of it", async () => {
  const former = {};
  const latest = {};
  const judge = async (...ended: object[]) => {
    const { attributor } = openAttributor();
    const news = listBlameNews(attributor);
    tellHarmful(attributor, former);
    tellCount(attributor, latest, SOUND_ANSWERS);
    for (const session of ended) attributor.endSession(session);
    await new Promise((resolve) => setTimeout(resolve, DECISION_MILLISECONDS));
    attributor.stop();
    return news;
  };
  assert.deepEqual(await judge(), ["blamed part:harmful"]);
  assert.deepEqual(await judge(former), ["blamed part:harmful"]);
  assert.deepEqual(await judge(former, latest), []);
  assert.deepEqual(await judge(latest, former), []);
});

// Guards against a decision that waits for the next crash although the good ends
// that it lacked have come.
test("good ends that come after the crashes decide", async () => {
  const { attributor } = openAttributor();
  const news = listBlameNews(attributor);
  tellHarmful(attributor, SESSION);
  const sleep = () =>
    new Promise((resolve) => setTimeout(resolve, DECISION_MILLISECONDS));
  await sleep();
  assert.deepEqual(news, []);
  tellCount(attributor, SESSION, SOUND_ANSWERS);
  await sleep();
  attributor.stop();
  assert.deepEqual(news, ["blamed part:harmful"]);
});

/** Control hosts that tell each other all news, each message one turn later. */
function linkAttributors(count: number) {
  const queue: (() => void)[] = [];
  const attributors = Array.from(
    { length: count },
    () => openAttributor().attributor,
  );
  for (const from of attributors) {
    from.blameNews$.subscribe((news) => {
      for (const to of attributors) {
        if (to !== from) queue.push(() => to.addRemoteNews(news));
      }
    });
  }
  return { attributors, queue };
}

// Guards against a blame and its end that control hosts tell each other again and
// again, as one tells of the end while others tell of the blame.
test("a lifted blame doesn't go round between control hosts", () => {
  const { attributors, queue } = linkAttributors(3);
  const [first, second] = attributors;
  const blame = newsOfBlame("part:a", ["x", "y", "z"]);
  first!.addLocalNews(blame, SESSION);
  first!.addLocalNews(newsOfGoodEnd("a"), SESSION);
  second!.addLocalNews(blame, SESSION);
  let messages = 0;
  for (; queue.length > 0 && messages < 1_000; messages += 1) queue.shift()!();
  for (const attributor of attributors) attributor.stop();
  assert.ok(messages < 1_000, "without end");
});
