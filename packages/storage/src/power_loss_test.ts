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
 * What would be left of this process's files if the host lost power: of each
 * file what its last sync covered, of each folder the names it held then.
 */
class DurableFiles {
  #contents = new Map<number, Buffer>();
  #names = new Map<string, Map<string, number>>();
  #losses = 0;
  /** Called ahead of each sync of a folder, when names may last or not. */
  beforeNames: (() => void) | undefined;
  #restore = () => {};

  /** Listens to every sync that this process makes. */
  async listen(): Promise<void> {
    const handle = await open(process.execPath);
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    const { sync, datasync } = prototype;
    const note = (handle: FileHandle) => this.#note(handle);
    const ahead = (handle: FileHandle) => {
      if (statSync(pathOf(handle)).isDirectory()) this.beforeNames?.();
    };
    prototype.sync = async function (this: FileHandle) {
      ahead(this);
      await sync.call(this);
      note(this);
    };
    prototype.datasync = async function (this: FileHandle) {
      await datasync.call(this);
      note(this);
    };
    this.#restore = () => Object.assign(prototype, { sync, datasync });
  }

  stop(): void {
    this.#restore();
  }

  /**
   * Makes `folder` anew, at another place, as a loss of power leaves it.
   *
   * @param kept names that last though the folder was not synced since.
   */
  losePower(folder: string, kept: string[] = []): string {
    this.#losses += 1;
    const left = `${folder}-left-${this.#losses}`;
    mkdirSync(left);
    const names = new Map(this.#names.get(folder));
    for (const name of readdirSync(folder)) {
      if (kept.includes(name)) names.set(name, inodeOf(join(folder, name)));
    }
    for (const [name, file] of names) {
      const content = this.#contents.get(file) ?? Buffer.alloc(0);
      writeFileSync(join(left, name), content);
    }
    return left;
  }

  #note(handle: FileHandle): void {
    const path = pathOf(handle);
    const stat = statSync(path);
    if (!stat.isDirectory()) {
      return void this.#contents.set(stat.ino, readFileSync(path));
    }
    const names = readdirSync(path).map((name) =>
      [name, inodeOf(join(path, name))] as const
    );
    this.#names.set(path, new Map(names));
  }
}

function pathOf(handle: FileHandle): string {
  return readlinkSync(`/proc/self/fd/${handle.fd}`);
}

function inodeOf(path: string): number {
  return statSync(path).ino;
}

const durable = new DurableFiles();
before(() => durable.listen());
after(() => durable.stop());

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

function indexes(folder: DataFolder): number[] {
  return folder.restored.entries.map(({ index }) => Number(index));
}

// An operator's change is acknowledged, and at that moment the host loses
// power. Had the log been written and not synced, the change would be gone and
// an older configuration in force, though nothing ever failed.
test("what was confirmed is there after a loss of power", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  for (let index = 1; index <= 5; index += 1) {
    assert.ok((await first.append(batch(entry(index)))).isOk);
    const left = await openFolder(durable.losePower(folder));
    const expected = Array.from({ length: index }, (_, at) => at + 1);
    assert.deepEqual(indexes(left), expected);
    assert.equal(left.identity.id, first.identity.id);
    assert.equal(left.restored.hardState.votedFor, "x");
    await left.close();
  }
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});

// The log is replaced by a snapshot and a new segment. Without a sync of the
// folder their names can be lost while the old segment's removal is kept: the
// member would come back empty under an id that has voted.
test("a snapshot and what follows it survive a loss of power", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  await first.append(batch(entry(1), entry(2), entry(3)));
  const saved = await saveSnapshotAt2(first);
  assert.ok(saved.isOk);
  await first.append(batch(entry(4)));
  const left = await openFolder(durable.losePower(folder));
  assert.equal(Number(left.restored.snapshot.lastIndex), 2);
  assert.deepEqual(indexes(left), [3, 4]);
  assert.equal(left.identity.id, first.identity.id);
  await left.close();
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});

// Power is lost while the snapshot takes its name: that name is kept, and
// whatever else was not synced is lost. With the new segment's name among that,
// the changes behind the snapshot would be gone.
test("a snapshot never lasts without the segment that follows it", async () => {
  const folder = newFolder();
  const first = await openFolder(folder);
  await first.append(batch(entry(1), entry(2), entry(3)));
  const left: string[] = [];
  durable.beforeNames = () => {
    left.push(durable.losePower(folder, ["snapshot.bin"]));
  };
  const saved = await saveSnapshotAt2(first);
  durable.beforeNames = undefined;
  assert.ok(saved.isOk);
  assert.ok(left.length >= 2, "segment and snapshot are named apart");
  for (const one of left) {
    const opened = await openFolder(one);
    assert.equal(indexes(opened).at(-1), 3);
    await opened.close();
  }
  await first.close();
  rmSync(dirname(folder), { recursive: true });
});
