import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const SOURCE = fileURLToPath(new URL("../../src", import.meta.url));
const NAMES = join(SOURCE, "log", "event_name.ts");
const PAGE = fileURLToPath(
  new URL("../../../../docs/EVENTS.md", import.meta.url),
);

function findNames(path: string, pattern: RegExp): string[] {
  const text = readFileSync(path, "utf8");
  return [...text.matchAll(pattern)].map((match) => match[1]!).sort();
}

// If an event were renamed in the code but not in docs/EVENTS.md, an engineer
// on call would search the logs for a name that is no longer written.
test("docs/EVENTS.md lists exactly the defined events", () => {
  const names = findNames(NAMES, /^ {2}\| "([a-z-]+)"/gm);
  assert.ok(names.length > 0);
  assert.deepEqual(findNames(PAGE, /^\| `([a-z-]+)`/gm), names);
});

test("each defined event is logged somewhere", () => {
  const sources = readdirSync(SOURCE, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .map((name) => join(SOURCE, name))
    .filter((path) => path !== NAMES)
    .map((path) => readFileSync(path, "utf8"))
    .join("\n");
  const unused = findNames(NAMES, /^ {2}\| "([a-z-]+)"/gm)
    .filter((name) => !sources.includes(`"${name}"`));
  assert.deepEqual(unused, []);
});
