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

function texts(folder: DataFolder): string[] {
  return folder.restored.entries.map((one) =>
    new TextDecoder().decode(one.data)
  );
}

function lastSegment(folder: string): string {
  const names = readdirSync(folder).filter((name) => name.startsWith("log-"));
  return join(folder, names.sort().at(-1)!);
}

async function folderWith(count: number): Promise<string> {
  const path = temporaryFolder();
  const folder = await openFolder(path);
  for (let index = 1; index <= count; index += 1) {
    assert.ok((await folder.append(batch([entry(index)]))).isOk);
  }
  await folder.close();
  return path;
}

test("hundreds of changes come back exactly after a restart", async () => {
  const path = await folderWith(300);
  const folder = await openFolder(path);
  assert.deepEqual(
    texts(folder),
    Array.from({ length: 300 }, (_, index) => `change ${index + 1}`),
  );
  assert.equal(folder.restored.hardState.votedFor, "x");
  await folder.close();
  rmSync(path, { recursive: true });
});

test("a kill at any byte of a write loses only what was not confirmed", async () => {
  // Story: the process is killed in the middle of writing its last batch.
  // After the restart every confirmed change is there, the last is there
  // whole or not at all, and the folder takes new changes.
  const path = await folderWith(5);
  const before = readFileSync(lastSegment(path)).length;
  const folder = await openFolder(path);
  await folder.append(batch([entry(6), entry(7)], 2));
  await folder.close();
  const whole = readFileSync(lastSegment(path));
  for (let length = before; length <= whole.length; length += 1) {
    const copy = temporaryFolder();
    cpSync(path, copy, { recursive: true });
    truncateSync(lastSegment(copy), length);
    const reopened = await openFolder(copy);
    const found = texts(reopened);
    assert.ok(found.length >= 5 && found.length <= 7, `at byte ${length}`);
    assert.ok(reopened.restored.hardState.term >= 1);
    const next = found.length + 1;
    assert.ok((await reopened.append(batch([entry(next)], 3))).isOk);
    await reopened.close();
    const again = await openFolder(copy);
    assert.equal(texts(again).length, next, `at byte ${length}`);
    await again.close();
    rmSync(copy, { recursive: true });
  }
  rmSync(path, { recursive: true });
});

test("a zero-filled tail is cut like a torn one", async () => {
  const path = await folderWith(3);
  appendFileSync(lastSegment(path), new Uint8Array(64));
  const folder = await openFolder(path);
  assert.equal(texts(folder).length, 3);
  await folder.close();
  rmSync(path, { recursive: true });
});

test("damage before confirmed changes is refused, naming file and byte", async () => {
  // Story: a bit turns in the middle of the log. Going on without the rest
  // would forget accepted changes, so the member must not start.
  const path = await folderWith(20);
  const file = lastSegment(path);
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
  const path = await folderWith(4);
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
  const path = await folderWith(10);
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
  assert.deepEqual(texts(again), ["change 9", "change 10", "change 11"]);
  assert.equal(again.restored.snapshot.lastIndex, 8);
  assert.equal(again.restored.hardState.term, 4);
  assert.equal(
    readdirSync(path).filter((name) => name.startsWith("log-")).length,
    1,
  );
  await again.close();
  rmSync(path, { recursive: true });
});

test("a crash between new segment and snapshot loses nothing", async () => {
  // Story: the process is killed after the new segment has its name but
  // before the snapshot is written: both segments are read, in order.
  const path = await folderWith(6);
  const old = readFileSync(lastSegment(path));
  const oldName = lastSegment(path);
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
  assert.equal(texts(again).length, 6);
  await again.close();
  rmSync(path, { recursive: true });
});

test("another member's folder is refused", async () => {
  const path = await folderWith(1);
  const opened = await DataFolder.open(path, "kel-1");
  assert.ok(opened.isErr && opened.error.kind === "other-member");
  assert.match(opened.error.detail, /belongs to van-1, not to kel-1/);
  rmSync(path, { recursive: true });
});

test("an emptied folder comes back under another id", async () => {
  // Story: a voter's disk is lost. Under its old id it could vote a second
  // time in a term that it has forgotten.
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

test("a folder that a living process holds is refused", async () => {
  const path = await folderWith(1);
  const fields = readFileSync("/proc/1/stat", "utf8").split(") ")[1]!;
  writeFileSync(join(path, "lock"), `1 ${fields.split(" ")[19]}`);
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isErr && opened.error.kind === "in-use");
  rmSync(path, { recursive: true });
});

test("a lock whose process id is another process's now is taken over", async () => {
  // Story: a control host is killed and starts again; meanwhile its process
  // id was given to something else. The folder would stay locked, and the
  // host would end itself at every start.
  const path = temporaryFolder();
  writeFileSync(join(path, "lock"), "1 0");
  const opened = await DataFolder.open(path, NAME);
  assert.ok(opened.isOk);
  await opened.value.close();
});
