import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import type { RoutingDecoder } from "./routing_decoder.ts";
import { rememberDecoded } from "./remember_decoded.ts";

// Guards against a large configuration that keeps small hosts from anything
// else, as it is decoded again each time that its operator sends it.
test("a valid document is decoded once, however often it is sent", () => {
  const seen: string[] = [];
  const decode = rememberDecoded(
    ((document: string) => {
      seen.push(document);
      return document === "bad"
        ? Result.err("not valid")
        : Result.ok({ version: Number(document) });
    }) as RoutingDecoder,
  );
  const decoded = ["1", "2", "1", "2", "bad", "bad", "1", "3", "1", "2"]
    .map((document) => decode(document));
  assert.deepEqual(seen, ["1", "2", "bad", "bad", "3", "2"]);
  assert.ok(decoded[4]!.isErr);
  assert.equal(decoded[6], decoded[0]);
});
