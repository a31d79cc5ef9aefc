import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { pickHomeBackends } from "./pick_home_backends.ts";

const ENGINES = 15;
const HOSTS = 8;

function createAnnouncements(dataCentre: string): BackendAnnouncement[] {
  return Array.from({ length: ENGINES }, (_, index) => ({
    instance: `${dataCentre}-${index}`,
    service: "s",
    address: `10.0.0.${index}:80`,
    dataCentre,
    slots: 8,
    state: "ready" as const,
    bornAt: 1,
    sequence: 1,
    coldMilliseconds: 0,
    models: [],
  }));
}

// 8 hosts of a data centre send to its 15 engines. Guards against all hosts
// preferring the same few engines, and against preferring remote ones.
test("each host prefers a few local backend servers, not all hosts the same", () => {
  const all = [...createAnnouncements("here"), ...createAnnouncements("there")];
  const preferred = new Map<string, number>();
  for (let index = 0; index < HOSTS; index += 1) {
    const home = pickHomeBackends(all, {
      host: `host-${index}`,
      dataCentre: "here",
    });
    assert.equal(home.size, 4);
    for (const instance of home) {
      assert.match(instance, /^here/);
      preferred.set(instance, (preferred.get(instance) ?? 0) + 1);
    }
  }
  assert.ok(preferred.size >= ENGINES * 0.6, `${preferred.size} preferred`);
  assert.ok(Math.max(...preferred.values()) <= HOSTS / 2);
});

// Guards against replacing other home engines whenever one is added or removed.
test("a removed backend server is replaced by one, the others stay", () => {
  const options = { host: "host-1", dataCentre: "here" };
  const before = pickHomeBackends(createAnnouncements("here"), options);
  const [gone] = before;
  const left = createAnnouncements("here").filter(({ instance }) =>
    instance !== gone
  );
  const after = pickHomeBackends(left, options);
  const kept = [...before].filter((instance) => after.has(instance));
  assert.equal(kept.length, before.size - 1);
});
