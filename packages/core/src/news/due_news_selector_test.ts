import assert from "node:assert/strict";
import { test } from "node:test";
import { DueNews } from "./due_news.ts";

const REST_MILLISECONDS = 1_000;

function select(
  news: DueNews,
  values: Record<string, number>,
  now: number,
): string[] {
  const items = Object.entries(values).map(([key, value]) => ({ key, value }));
  return news.select(items, now).map(({ key }) => key);
}

test("changes are told at once, the rest now and then", () => {
  const news = new DueNews({
    restMilliseconds: REST_MILLISECONDS,
    mostPerSecond: 100,
  });
  assert.deepEqual(select(news, { a: 1, b: 1 }, 0), ["a", "b"]);
  assert.deepEqual(select(news, { a: 1.1, b: 2 }, 100), ["b"]);
  assert.deepEqual(select(news, { a: 1.1, b: 2 }, 1_000), ["a"]);
  assert.deepEqual(select(news, { a: 0, b: 2 }, 1_050), ["a"]);
});

// Guards against many values of which the same few are told again and again.
test("beyond the budget those told longest ago go first", () => {
  const news = new DueNews({
    restMilliseconds: REST_MILLISECONDS,
    mostPerSecond: 2,
  });
  const values = { a: 1, b: 1, c: 1 };
  assert.deepEqual(select(news, values, 0), ["a", "b"]);
  assert.deepEqual(select(news, values, 1_000), ["c", "a"]);
  assert.deepEqual(select(news, values, 2_000), ["b", "a"]);
});
