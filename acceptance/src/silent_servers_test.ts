import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { streamText } from "./stream_text.ts";
import { watchFailures } from "./watch_failures.ts";

const ENGINES = 4;
const STREAM_EVENTS = 16;
const EVENT_INTERVAL_MILLISECONDS = 100;
const ROUTE_TIMEOUT_MILLISECONDS = 8_000;
/** From the start of the streams until servers fall silent. */
const SILENCE_DELAY_MILLISECONDS = 400;
const ROUNDS = 3;
const ROUND_GAP_MILLISECONDS = 1_500;

type Outcome = "whole" | "refused" | "cut" | "unknown";

/** Four engines with long streams, and one gateway. */
const system = new EndToEndSystem({
  engines: ENGINES,
  routeTimeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
});

before(async () => {
  await system.start();
  await system.saveRetries();
  for (const engine of system.engines) {
    engine.streamEvents = STREAM_EVENTS;
    engine.eventIntervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
  }
});

const hasFailed = watchFailures();
after(() => system.stop({ keepLogs: hasFailed() }));

async function stream(id: string): Promise<Outcome> {
  try {
    const { status, text } = await system.stream(id);
    if (status === 503) return "refused";
    if (status !== 200) return "unknown";
    return text === streamText(STREAM_EVENTS) ? "whole" : "cut";
  } catch {
    return "cut";
  }
}

type Silence = { name: string; engines: number; milliseconds: number };

/** Outcomes of `streams` streams in each of a few rounds with a silence each. */
async function playRounds(
  { name, engines, milliseconds }: Silence,
  streams: number,
): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const running = Array.from(
      { length: streams },
      (_, index) => stream(`${name}-${round}-${index}`),
    );
    await sleep(SILENCE_DELAY_MILLISECONDS);
    for (const engine of system.engines.slice(0, engines)) {
      engine.fallSilent(milliseconds);
    }
    outcomes.push(...await Promise.all(running));
    await sleep(ROUND_GAP_MILLISECONDS);
  }
  return outcomes;
}

const SILENCES: (Silence & { streams: number })[] = [
  { name: "one engine", engines: 1, milliseconds: 1_000, streams: 40 },
  { name: "one engine, longer", engines: 1, milliseconds: 2_000, streams: 40 },
  { name: "all engines", engines: ENGINES, milliseconds: 1_000, streams: 12 },
  {
    name: "all engines, longer",
    engines: ENGINES,
    milliseconds: 2_000,
    streams: 40,
  },
];

for (const silence of SILENCES) {
  // Guards against streams that are given up, with nobody to take them over,
  // because their sound backend server sends nothing for a while.
  test(`silence costs no caller an answer: ${silence.name}`, async () => {
    const outcomes = await playRounds(silence, silence.streams);
    const count = (outcome: Outcome) =>
      outcomes.filter((each) => each === outcome).length;
    console.log(
      `${count("whole")} whole, ${count("refused")} refused, ` +
        `${count("cut")} cut, ${count("unknown")} unknown`,
    );
    assert.equal(count("cut") + count("unknown"), 0);
    assert.ok(count("whole") > 0);
  });
}
