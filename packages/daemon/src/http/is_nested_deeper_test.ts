import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { isNestedDeeper } from "./is_nested_deeper.ts";

const DEPTH = 3;

function depthOf(value: unknown): number {
  if (typeof value !== "object" || value === null) return 0;
  return 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

// Guards against a document that takes a host's memory and time by its nesting
// alone, and against sound ones that are refused for signs in their texts.
test("the depth is that of arrays and objects, whatever texts hold", () => {
  fc.assert(fc.property(fc.jsonValue({ maxDepth: 6 }), (value) => {
    const text = JSON.stringify(value);
    assert.equal(
      isNestedDeeper(text, DEPTH),
      depthOf(JSON.parse(text)) > DEPTH,
    );
  }));
  assert.equal(isNestedDeeper('{"a":"[[[[\\"[[[["}', DEPTH), false);
  assert.equal(isNestedDeeper("[".repeat(8_000_000), DEPTH), true);
});
