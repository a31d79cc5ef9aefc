import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import process from "node:process";
import { test } from "node:test";
import type { EntryFixture } from "./entry_fixture.ts";
import { withEntryFixture } from "./with_entry_fixture.ts";

const PART = Buffer.alloc(65_536, "x");
const DEADLINE_MILLISECONDS = 1_000;
/** Far below what the server sends in the deadline where nothing bounds it. */
const MAX_BYTES = 160 * 1_048_576;

type Flood = { bytes: number; isClosed: boolean };

/** Writes again and again until the connection is closed. */
function flood(response: ServerResponse, write: () => boolean): Flood {
  const state: Flood = { bytes: 0, isClosed: false };
  response.once("close", () => state.isClosed = true);
  const send = () => {
    if (state.isClosed) return;
    state.bytes += PART.length;
    if (write()) setImmediate(send);
    else response.socket?.once("drain", send);
  };
  send();
  return state;
}

const FLOODS: Record<string, (response: ServerResponse) => Flood> = {
  "an answer": (response) => flood(response, () => response.write(PART)),
  "a failure": (response) => {
    response.writeHead(500);
    return flood(response, () => response.write(PART));
  },
  "a rejection": (response) => {
    response.writeHead(503, { "Retry-After": "1" });
    return flood(response, () => response.write(PART));
  },
  "interim answers": (response) =>
    flood(response, () => {
      const { socket } = response;
      return socket?.write("HTTP/1.1 102 Processing\r\n\r\n") ?? false;
    }),
};

async function call(fixture: EntryFixture): Promise<string> {
  try {
    const url = `http://${fixture.address}/v1/services/portal/run`;
    const answer = await fetch(url, {
      method: "POST",
      headers: {
        "Teaselrouter-Workspace": "desk",
        "Teaselrouter-Deadline-Ms": String(DEADLINE_MILLISECONDS),
      },
      body: "a summary",
    });
    let bytes = 0;
    for await (const part of answer.body ?? []) bytes += part.length;
    return `${answer.status}`;
  } catch {
    return "cut";
  }
}

// Guards against a backend server whose bytes have no end, and that fills its
// agent's memory or holds its caller beyond the deadline.
for (const [name, begin] of Object.entries(FLOODS)) {
  test(`${name} without end ends at the agent, and its caller gets an end`, async () => {
    const floods: Flood[] = [];
    await withEntryFixture(
      (_request, response) => void floods.push(begin(response)),
      async (fixture) => {
        const from = performance.now();
        const end = await call(fixture);
        assert.match(end, /^(cut|50[234])$/);
        assert.ok(performance.now() - from < 3 * DEADLINE_MILLISECONDS);
        const until = performance.now() + 3 * DEADLINE_MILLISECONDS;
        while (floods.some(({ isClosed }) => !isClosed)) {
          assert.ok(performance.now() < until, "the connection stays open");
          await new Promise((resolve) => setTimeout(resolve, 10));
        }
        for (const { bytes } of floods) {
          assert.ok(bytes < MAX_BYTES, `${bytes} bytes`);
        }
      },
    );
  });
}

const CALLS = 32;
const SAMPLE_MILLISECONDS = 10;
/** What two hosts of the design have: the agent's and the entry host's. */
const MAX_GROWTH_BYTES = 2 * 128 * 1_048_576;

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

// Guards against a backend server that answers many calls at once with bytes
// without end, and an agent that keeps them all.
test("answers without end, many at once, stay within an agent's bound", async () => {
  await withEntryFixture(
    (_request, response) => void flood(response, () => response.write(PART)),
    async (fixture) => {
      const before = usedBytes();
      let most = before;
      const timer = setInterval(
        () => most = Math.max(most, usedBytes()),
        SAMPLE_MILLISECONDS,
      );
      await Promise.all(Array.from({ length: CALLS }, () => call(fixture)));
      clearInterval(timer);
      const growth = most - before;
      console.log(`${CALLS} floods: ${Math.round(growth / 1_048_576)} MB`);
      assert.ok(growth <= MAX_GROWTH_BYTES, `${growth} bytes`);
    },
  );
});
