import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConfigurationRecord } from "./configuration_record.ts";
import { findConfigurationFaults } from "./find_configuration_faults.ts";

const GATEWAY = "gateway-0";

function document(version: number, by = 0): string {
  return JSON.stringify({ version, by });
}

/** A day on which version 2 was acknowledged at 1,000, with changes to it. */
function find(change: Partial<ConfigurationRecord>): string[] {
  return findConfigurationFaults({
    bounds: { apply: 2_000, contact: 3_000 },
    documents: new Map([[1, [document(1)]], [2, [
      document(2),
      document(2, 1),
    ]]]),
    invalidVersions: new Set([3]),
    acknowledgements: [{ version: 2, at: 1_000 }],
    wrongAnswers: [],
    reads: [],
    observations: [],
    requests: [],
    absences: [],
    ...change,
  });
}

function read(from: number, text: string | undefined) {
  return { from, to: from + 5, host: "control-0", document: text };
}

function shown(
  from: number,
  change: { atLeast?: number; olderThan?: number },
) {
  return {
    gateway: GATEWAY,
    from,
    to: from + 5,
    atLeast: undefined,
    olderThan: undefined,
    ...change,
  };
}

// Guards against a day that passes though its configuration came back older.
test("a read that is answered with an older version is a fault", () => {
  assert.equal(find({ reads: [read(1_100, document(1))] }).length, 1);
  assert.deepEqual(
    find({
      reads: [
        read(900, document(1)),
        read(1_100, undefined),
        read(1_200, document(2)),
      ],
    }),
    [],
  );
});

// Guards against two contents of one version, and content that nobody sent.
test("a read that is answered with other content is a fault", () => {
  const [first, other] = [document(2), document(2, 1)];
  assert.equal(
    find({ reads: [read(1_100, first), read(1_200, other)] }).length,
    1,
  );
  assert.equal(find({ reads: [read(1_100, document(2, 9))] }).length, 1);
  assert.deepEqual(find({ reads: [read(1_100, other)] }), []);
});

// Guards against a day that passes though an invalid configuration was taken.
test("an invalid version that is acknowledged or read back is a fault", () => {
  const wrongAnswers = [{ version: 3, status: 200, what: "the invalid" }];
  assert.equal(find({ wrongAnswers }).length, 1);
  assert.equal(find({ reads: [read(1_100, document(3))] }).length, 1);
});

// Guards against gateways that obey a version too late, and against days that
// blame those that were disrupted.
test("a gateway in touch that obeys an older version in time is a fault", () => {
  const late = { observations: [shown(3_100, { olderThan: 2 })] };
  assert.equal(find(late).length, 1);
  assert.deepEqual(
    find({ observations: [shown(2_900, { olderThan: 2 })] }),
    [],
  );
  const absences = (to: number) => [
    { from: 1_010, to, hosts: [GATEWAY], isCore: false, isTrouble: true },
  ];
  assert.equal(find({ ...late, absences: absences(50) }).length, 1);
  assert.deepEqual(find({ ...late, absences: absences(200) }), []);
});

// Guards against a gateway that goes back behind what it has obeyed.
test("a gateway that goes back is a fault unless it started anew", () => {
  const observations = [
    shown(1_100, { atLeast: 2 }),
    shown(1_500, { olderThan: 2 }),
  ];
  assert.equal(find({ observations }).length, 1);
  const absences = [
    {
      from: 1_200,
      to: 1_300,
      hosts: [GATEWAY],
      isCore: false,
      isTrouble: true,
    },
  ];
  assert.deepEqual(find({ observations, absences }), []);
  const soon = [shown(1_100, { atLeast: 2 }), shown(1_200, { olderThan: 2 })];
  assert.deepEqual(find({ observations: soon }), []);
});

// Guards against routes that are accepted, but not served.
test("routes that were added and are hardly served are a fault", () => {
  const requests = (isAdded: boolean, served: number) =>
    Array.from({ length: 40 }, (_, index) => ({
      at: 5_000 + index,
      gateway: GATEWAY,
      isAdded,
      served: index < served,
    }));
  const days = (served: number) =>
    find({ requests: [...requests(false, 36), ...requests(true, served)] });
  assert.equal(days(8).length, 1);
  assert.deepEqual(days(9), []);
});
