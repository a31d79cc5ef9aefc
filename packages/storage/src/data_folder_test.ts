import { create } from "@bufbuild/protobuf";
import {
  EntryKind,
  HardStateSchema,
  type LogEntry,
  LogEntrySchema,
  MembershipSchema,
  SnapshotDataSchema,
} from "@teaselrouter/messages/control.ts";
import assert from "node:assert/strict";
import {
  appendFileSync,
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { DataFolder } from "./data_folder.ts";

const NAME = "van-1";

function temporaryFolder(): string {
  return mkdtempSync(join(tmpdir(), "teaselrouter-storage-"));
}

function entry(index: number, text = `change ${index}`): LogEntry {
  return create(LogEntrySchema, {
    index,
    term: 1,
    kind: EntryKind.COMMAND,
    data: new TextEncoder().encode(text),
  });
}

function batch(entries: LogEntry[], term = 1) {
  return {
    hardState: create(HardStateSchema, { term, votedFor: "x" }),
    truncateFrom: undefined,
    entries,
  };
}

async function openFolder(folder: string): Promise<DataFolder> {
  const opened = await DataFolder.open(folder, NAME);
  assert.ok(opened.isOk, opened.isErr ? opened.error.detail : "");
  return opened.value;
}

function entryTexts(folder: DataFolder): string[] {
  return folder.restoredLog.entries.map((one) =>
    new TextDecoder().decode(one.data)
  );
}

function findLastSegment(folder: string): string {
  const names = readdirSync(folder).filter((name) => name.startsWith("log-"));
  return join(folder, names.sort().at(-1)!);
}

async function createFolderWithEntries(count: number): Promise<string> {
  const path = temporaryFolder();
  const folder = await openFolder(path);
  for (let index = 1; index <= count; index += 1) {
    assert.ok((await folder.append(batch([entry(index)]))).isOk);
  }
  await folder.close();
  return path;
}

test("hundreds of entries are restored exactly after a restart", async () => {
  const path = await createFolderWithEntries(300);
  const folder = await openFolder(path);
  assert.deepEqual(
    entryTexts(folder),
    Array.from({ length: 300 }, (_, index) => `change ${index + 1}`),
  );
  assert.equal(folder.restoredLog.hardState.votedFor, "x");
  await folder.close();
  rmSync(path, { recursive: true });
});

test("a kill at any byte of a write loses only unconfirmed entries", async () => {
  // The process is killed while it writes its last batch. After the restart the
  // log must contain all confirmed entries, each entry of the last batch whole
  // or not at all, and accept new entries.
  const path = await createFolderWithEntries(5);
  const before = readFileSync(findLastSegment(path)).length;
  const folder = await openFolder(path);
  await folder.append(batch([entry(6), entry(7)], 2));
  await folder.close();
  const whole = readFileSync(findLastSegment(path));
  for (let length = before; length <= whole.length; length += 1) {
    const copy = temporaryFolder();
    cpSync(path, copy, { recursive: true });
    truncateSync(findLastSegment(copy), length);
    const reopened = await openFolder(copy);
    const found = entryTexts(reopened);
    assert.ok(found.length >= 5 && found.length <= 7, `at byte ${length}`);
    assert.ok(reopened.restoredLog.hardState.term >= 1);
    const next = found.length + 1;
    assert.ok((await reopened.append(batch([entry(next)], 3))).isOk);
    await reopened.close();
    const again = await openFolder(copy);
    assert.equal(entryTexts(again).length, next, `at byte ${length}`);
    await again.close();
    rmSync(copy, { recursive: true });
  }
  rmSync(path, { recursive: true });
});

test("a zero-filled tail is cut off like a torn record", async () => {
  const path = await createFolderWithEntries(3);
  appendFileSync(findLastSegment(path), new Uint8Array(64));
  const folder = await openFolder(path);
  assert.equal(entryTexts(folder).length, 3);
  await folder.close();
  rmSync(path, { recursive: true });
});

test("damage before confirmed entries is refused, naming file and byte", async () => {
  // A bit flips in the middle of the log. Continuing without the entries after
  // it would lose accepted changes, so the member must not start.
  const path = await createFolderWithEntries(20);
  const file = findLastSegment(path);
  const bytes = readFileSync(file);
  bytes[40] = bytes[40]! ^ 1;
  writeFileSync(file, bytes);
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isErr);
  assert.equal(opened.error.kind, "damaged");
  assert.match(opened.error.detail, /log-\d+\.bin is damaged at byte \d+/);
  assert.match(opened.error.detail, /OPERATIONS/);
  rmSync(path, { recursive: true });
});

test("a damaged snapshot is refused", async () => {
  const path = await createFolderWithEntries(4);
  const folder = await openFolder(path);
  await folder.saveSnapshot(create(SnapshotDataSchema, { lastIndex: 4 }), {
    hardState: create(HardStateSchema, { term: 1 }),
    entries: [],
  });
  await folder.close();
  const file = join(path, "snapshot.bin");
  const bytes = readFileSync(file);
  bytes[bytes.length - 1] = bytes[bytes.length - 1]! ^ 1;
  writeFileSync(file, bytes);
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isErr && opened.error.kind === "damaged");
  rmSync(path, { recursive: true });
});

test("a snapshot keeps the entries that follow it and drops old segments", async () => {
  const path = await createFolderWithEntries(10);
  const folder = await openFolder(path);
  const snapshot = create(SnapshotDataSchema, {
    lastIndex: 8,
    lastTerm: 1,
    membership: create(MembershipSchema, { members: [{ id: "a" }] }),
    state: new TextEncoder().encode("tables"),
  });
  const saved = await folder.saveSnapshot(snapshot, {
    hardState: create(HardStateSchema, { term: 4, votedFor: "b" }),
    entries: [entry(9), entry(10)],
  });
  assert.ok(saved.isOk);
  await folder.append(batch([entry(11)], 4));
  await folder.close();
  const again = await openFolder(path);
  assert.deepEqual(entryTexts(again), ["change 9", "change 10", "change 11"]);
  assert.equal(again.restoredLog.snapshot.lastIndex, 8);
  assert.equal(again.restoredLog.hardState.term, 4);
  assert.equal(
    readdirSync(path).filter((name) => name.startsWith("log-")).length,
    1,
  );
  await again.close();
  rmSync(path, { recursive: true });
});

test("a crash between new segment and snapshot loses nothing", async () => {
  // The process is killed after the new segment was renamed but before the
  // snapshot was written: both segments must be read, in order.
  const path = await createFolderWithEntries(6);
  const old = readFileSync(findLastSegment(path));
  const oldName = findLastSegment(path);
  const folder = await openFolder(path);
  await folder.saveSnapshot(
    create(SnapshotDataSchema, { lastIndex: 4, lastTerm: 1 }),
    {
      hardState: create(HardStateSchema, { term: 2 }),
      entries: [entry(5), entry(6)],
    },
  );
  await folder.close();
  rmSync(join(path, "snapshot.bin"));
  writeFileSync(oldName, old);
  const again = await openFolder(path);
  assert.equal(entryTexts(again).length, 6);
  await again.close();
  rmSync(path, { recursive: true });
});

test("another member's folder is refused", async () => {
  const path = await createFolderWithEntries(1);
  const opened = await DataFolder.open(path, "kel-1");
  assert.ok(opened.isErr && opened.error.kind === "other-member");
  assert.match(opened.error.detail, /belongs to van-1, not to kel-1/);
  rmSync(path, { recursive: true });
});

test("an emptied folder gets a new member id", async () => {
  // A voter's disk is lost. Under its old id the voter could vote a second time
  // in a term whose vote it no longer has.
  const path = temporaryFolder();
  const first = await openFolder(path);
  await first.close();
  rmSync(path, { recursive: true });
  const second = await openFolder(path);
  assert.notEqual(second.identity.id, first.identity.id);
  assert.equal(second.identity.name, NAME);
  await second.close();
  rmSync(path, { recursive: true });
});

/** When the first process started, in clock ticks; 0 on some machines. */
function readStartTime(): string {
  const fields = readFileSync("/proc/1/stat", "utf8").split(") ")[1]!;
  return fields.split(" ")[19]!;
}

test("a folder locked by a running process is refused", async () => {
  const path = await createFolderWithEntries(1);
  writeFileSync(join(path, "lock"), `1 ${readStartTime()}`);
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isErr && opened.error.kind === "in-use");
  rmSync(path, { recursive: true });
});

test("a lock whose process id was reused by another process is taken over", async () => {
  // A control host is killed and restarted; meanwhile its process id was given
  // to another process. If the lock held only the id, the folder would stay
  // locked and the control host would exit at every start.
  const path = temporaryFolder();
  const startedAt = Number(readStartTime());
  writeFileSync(join(path, "lock"), `1 ${startedAt + 1}`);
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isOk);
  await opened.value.close();
});
