import assert from "node:assert/strict";
import { test } from "node:test";
import { DueNewsSelector } from "./due_news_selector.ts";

const REFRESH_MILLISECONDS = 1_000;

function select(
  selector: DueNewsSelector,
  values: Record<string, number>,
  now: number,
): string[] {
  const items = Object.entries(values).map(([key, value]) => ({ key, value }));
  return selector.select(items, now).map(({ key }) => key);
}

test("changed values are sent at once, unchanged ones at intervals", () => {
  const selector = new DueNewsSelector({
    refreshMilliseconds: REFRESH_MILLISECONDS,
    maxPerSecond: 100,
  });
  assert.deepEqual(select(selector, { a: 1, b: 1 }, 0), ["a", "b"]);
  assert.deepEqual(select(selector, { a: 1.1, b: 2 }, 100), ["b"]);
  assert.deepEqual(select(selector, { a: 1.1, b: 2 }, 1_000), ["a"]);
  assert.deepEqual(select(selector, { a: 0, b: 2 }, 1_050), ["a"]);
});

// Guards against sending the same few of many values again and again.
test("if the budget is exceeded, values sent longest ago come first", () => {
  const selector = new DueNewsSelector({
    refreshMilliseconds: REFRESH_MILLISECONDS,
    maxPerSecond: 2,
  });
  const values = { a: 1, b: 1, c: 1 };
  assert.deepEqual(select(selector, values, 0), ["a", "b"]);
  assert.deepEqual(select(selector, values, 1_000), ["c", "a"]);
  assert.deepEqual(select(selector, values, 2_000), ["b", "a"]);
});
