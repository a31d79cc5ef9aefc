import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendAnnouncement } from "./backend_announcement.ts";
import { findAnnouncementFault } from "./find_announcement_fault.ts";
import { isServerAddress } from "./is_server_address.ts";

const SOUND: BackendAnnouncement = {
  instance: "i-1",
  service: "writer",
  address: "10.0.0.1:80",
  dataCentre: "here",
  slots: 12,
  state: "ready",
  bornAt: 1_700_000_000_000,
  sequence: 4,
  coldMilliseconds: 0,
  models: [{ name: "m", version: 2 }],
};

const ODD: [string, Partial<BackendAnnouncement>][] = [
  ["address", { address: "10.0.0.1:99999" }],
  ["address", { address: "10.0.0.1:0" }],
  ["address", { address: "10.0.0.999:80" }],
  ["address", { address: "10.0.0.1" }],
  ["slots", { slots: 1e308 }],
  ["slots", { slots: NaN }],
  ["start time", { bornAt: Number.MAX_SAFE_INTEGER }],
  ["start time", { bornAt: -1 }],
  ["sequence", { sequence: Number.MAX_SAFE_INTEGER }],
  ["sequence", { sequence: 0.5 }],
  ["cold time", { coldMilliseconds: Infinity }],
  ["models", { models: [{ name: "m", version: 1e300 }] }],
  ["instance", { instance: "i".repeat(513) }],
  ["service", { service: "" }],
];

// Guards against an odd entry of another writer that every host which reads it
// tries to send to, or lets outdate all that its instance says later.
for (const [field, change] of ODD) {
  test(
    `an entry is refused for its ${field}: ${
      JSON.stringify(change).slice(0, 60)
    }`,
    () => {
      assert.equal(findAnnouncementFault({ ...SOUND, ...change }), field);
    },
  );
}

test("what servers say, and the end that hosts add, is taken", () => {
  assert.equal(findAnnouncementFault(SOUND), undefined);
  const ended = {
    ...SOUND,
    state: "gone" as const,
    sequence: Number.MAX_SAFE_INTEGER,
  };
  assert.equal(findAnnouncementFault(ended), undefined);
});

test("an address is one exactly if it can be connected to", () => {
  const octet = fc.integer({ min: 0, max: 300 });
  const port = fc.integer({ min: 0, max: 99_999 });
  fc.assert(fc.property(
    fc.tuple(octet, octet, octet, octet),
    port,
    (octets, port) => {
      const isReal = octets.every((each) => each <= 255) && port >= 1 &&
        port <= 65_535;
      assert.equal(isServerAddress(`${octets.join(".")}:${port}`), isReal);
    },
  ));
  fc.assert(fc.property(fc.string(), (text) => {
    assert.doesNotThrow(() => isServerAddress(text));
  }));
});
