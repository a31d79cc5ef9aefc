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
import { Buffer } from "node:buffer";
import {
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  readlinkSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { after, before, test } from "node:test";
import { DataFolder } from "./data_folder.ts";

const NAME = "van-1";

/**
 * Models which of this process's files would survive a power loss: of each file
 * the content at its last sync, of each folder the names at its last sync.
 */
class DurableFiles {
  #syncedContents = new Map<number, Buffer>();
  #syncedFolders = new Map<string, Map<string, number>>();
  #copyCount = 0;
  /**
   * Called before each sync of a folder, while changes of names may or may not
   * survive a power loss.
   */
  beforeFolderSync: (() => void) | undefined;
  #restore = () => {};

  /** Starts recording every file and folder sync of this process. */
  async recordSyncs(): Promise<void> {
    const handle = await open(process.execPath);
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    const { sync, datasync } = prototype;
    const recordSync = (handle: FileHandle) => this.#recordSync(handle);
    const announceFolderSync = (handle: FileHandle) => {
      if (statSync(getPath(handle)).isDirectory()) this.beforeFolderSync?.();
    };
    prototype.sync = async function (this: FileHandle) {
      announceFolderSync(this);
      await sync.call(this);
      recordSync(this);
    };
    prototype.datasync = async function (this: FileHandle) {
      await datasync.call(this);
      recordSync(this);
    };
    this.#restore = () => Object.assign(prototype, { sync, datasync });
  }

  restoreSyncs(): void {
    this.#restore();
  }

  /**
   * Copies `folder` to a new path as a power loss would leave it.
   *
   * @param kept names that survive although the folder was not synced
   * since they were created.
   */
  copyAfterPowerLoss(folder: string, kept: string[] = []): string {
    this.#copyCount += 1;
    const copy = `${folder}-left-${this.#copyCount}`;
    mkdirSync(copy);
    const names = new Map(this.#syncedFolders.get(folder));
    for (const name of readdirSync(folder)) {
      if (kept.includes(name)) names.set(name, getInode(join(folder, name)));
    }
    for (const [name, file] of names) {
      const content = this.#syncedContents.get(file) ?? Buffer.alloc(0);
      writeFileSync(join(copy, name), content);
    }
    return copy;
  }

  #recordSync(handle: FileHandle): void {
    const path = getPath(handle);
    const stat = statSync(path);
    if (!stat.isDirectory()) {
      return void this.#syncedContents.set(stat.ino, readFileSync(path));
    }
    const names = readdirSync(path).map((name) =>
      [name, getInode(join(path, name))] as const
    );
    this.#syncedFolders.set(path, new Map(names));
  }
}

function getPath(handle: FileHandle): string {
  return readlinkSync(`/proc/self/fd/${handle.fd}`);
}

function getInode(path: string): number {
  return statSync(path).ino;
}

const durable = new DurableFiles();
before(() => durable.recordSyncs());
after(() => durable.restoreSyncs());

function entry(index: number): LogEntry {
  return create(LogEntrySchema, {
    index,
    term: 1,
    kind: EntryKind.COMMAND,
    data: new TextEncoder().encode(`change ${index}`),
  });
}

function batch(...entries: LogEntry[]) {
  return {
    hardState: create(HardStateSchema, { term: 1, votedFor: "x" }),
    truncateFrom: undefined,
    entries,
  };
}

async function openFolder(folder: string): Promise<DataFolder> {
  const opened = await DataFolder.open(folder, NAME);
  assert.ok(opened.isOk, opened.isErr ? opened.error.detail : "");
  return opened.value;
}

function newFolder(): string {
  const folder = join(mkdtempSync(join(tmpdir(), "teaselrouter-power-")), "d");
  mkdirSync(folder);
  return folder;
}

function saveSnapshotAt2(folder: DataFolder) {
  const membership = create(MembershipSchema, {
    members: [{ id: folder.identity.id, name: NAME }],
  });
  return folder.saveSnapshot(
    create(SnapshotDataSchema, {
      lastIndex: 2,
      lastTerm: 1,
      membership,
      state: new TextEncoder().encode("state at 2"),
    }),
    {
      hardState: create(HardStateSchema, { term: 1, votedFor: "x" }),
      entries: [entry(3)],
    },
  );
}

function listIndexes(folder: DataFolder): number[] {
  return folder.restoredLog.entries.map(({ index }) => Number(index));
}

// The host loses power just after an operator's change was acknowledged. If the
// log were written but not synced, the change would be lost and an older
// configuration in force, although no write had failed.
test("confirmed entries survive a power loss", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  for (let index = 1; index <= 5; index += 1) {
    assert.ok((await first.append(batch(entry(index)))).isOk);
    const reopened = await openFolder(durable.copyAfterPowerLoss(folder));
    const expected = Array.from({ length: index }, (_, at) => at + 1);
    assert.deepEqual(listIndexes(reopened), expected);
    assert.equal(reopened.identity.id, first.identity.id);
    assert.equal(reopened.restoredLog.hardState.votedFor, "x");
    await reopened.close();
  }
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});

// The log is replaced by a snapshot and a new segment. Without a sync of the
// folder a power loss could undo their renames but not the removal of the old
// segment: the member would restart empty under an id that has voted.
test("a snapshot and the entries after it survive a power loss", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  await first.append(batch(entry(1), entry(2), entry(3)));
  const saved = await saveSnapshotAt2(first);
  assert.ok(saved.isOk);
  await first.append(batch(entry(4)));
  const reopened = await openFolder(durable.copyAfterPowerLoss(folder));
  assert.equal(Number(reopened.restoredLog.snapshot.lastIndex), 2);
  assert.deepEqual(listIndexes(reopened), [3, 4]);
  assert.equal(reopened.identity.id, first.identity.id);
  await reopened.close();
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});

// The host loses power while the snapshot is renamed: the new name survives and
// everything else that was not synced is lost. If that included the name of the
// new segment, the entries after the snapshot would be lost.
test("a snapshot never survives without the segment that follows it", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  await first.append(batch(entry(1), entry(2), entry(3)));
  const copies: string[] = [];
  durable.beforeFolderSync = () => {
    copies.push(durable.copyAfterPowerLoss(folder, ["snapshot.bin"]));
  };
  const saved = await saveSnapshotAt2(first);
  durable.beforeFolderSync = undefined;
  assert.ok(saved.isOk);
  assert.ok(copies.length >= 2, "segment and snapshot are synced separately");
  for (const copy of copies) {
    const opened = await openFolder(copy);
    assert.equal(listIndexes(opened).at(-1), 3);
    await opened.close();
  }
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});
