import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type {
  HardState,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { SnapshotDataSchema } from "@teaselrouter/messages/control.ts";
import { randomBytes } from "node:crypto";
import { readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { Result } from "true-myth";
import { crc32 } from "node:zlib";
import { Buffer } from "node:buffer";
import { lockFolder } from "./lock_folder.ts";
import type { LogBatch } from "./log_batch.ts";
import { LogWriter } from "./log_writer.ts";
import type { MemberIdentity } from "./member_identity.ts";
import { memberIdentitySchema } from "./member_identity_schema.ts";
import { NodeLogFile } from "./node_log_file.ts";
import { readSegment } from "./read_segment.ts";
import { replayRecords } from "./replay_records.ts";
import type { RestoredLog } from "./restored_log.ts";
import type { StorageProblem } from "./storage_problem.ts";
import { syncFolder } from "./sync_folder.ts";
import { writeDurably } from "./write_durably.ts";

const IDENTITY_FILE = "identity.json";
const SNAPSHOT_FILE = "snapshot.bin";
const SEGMENT_PATTERN = /^log-(\d{8})\.bin$/;
const CRC_BYTES = 4;
const ID_RANDOM_BYTES = 6;

function segmentFileName(number: number): string {
  return `log-${String(number).padStart(8, "0")}.bin`;
}

function damagedProblem(file: string, detail: string): StorageProblem {
  return {
    kind: "damaged",
    detail: `${file} ${detail}; replace this member (docs/OPERATIONS.md)`,
  };
}

/** A Raft member's durable state: its identity, a snapshot and the log. */
export class DataFolder {
  readonly identity: MemberIdentity;
  readonly restoredLog: RestoredLog;
  #folder: string;
  #writer: LogWriter;
  #segmentNumber: number;

  private constructor(options: {
    folder: string;
    identity: MemberIdentity;
    restored: RestoredLog;
    writer: LogWriter;
    segmentNumber: number;
  }) {
    this.#folder = options.folder;
    this.identity = options.identity;
    this.restoredLog = options.restored;
    this.#writer = options.writer;
    this.#segmentNumber = options.segmentNumber;
  }

  /**
   * Locks and opens the data folder of the member `name`. An empty folder gets
   * a new member id. A torn record at the end of the log is cut off. An
   * identity or snapshot file that can't be read, for whatever reason, counts
   * as missing.
   *
   * @throws if the folder, its lock or another file can't be created, read,
   *   truncated or synced. A lock that a full disk prevents is no failure.
   */
  static async open(
    folder: string,
    name: string,
  ): Promise<Result<DataFolder, StorageProblem>> {
    const locked = await lockFolder(folder);
    if (locked.isErr) return Result.err(locked.error);
    const identity = await readIdentity(folder, name);
    if (identity.isErr) return Result.err(identity.error);
    const snapshot = await readSnapshot(folder);
    if (snapshot.isErr) return Result.err(snapshot.error);
    const log = await readLog(folder, snapshot.value);
    if (log.isErr) return Result.err(log.error);
    const { restored, segmentNumber, validBytes } = log.value;
    const file = await NodeLogFile.open(
      join(folder, segmentFileName(segmentNumber)),
    );
    await file.truncate(validBytes);
    await syncFolder(folder);
    const writer = new LogWriter(file, validBytes);
    return Result.ok(
      new DataFolder({
        folder,
        identity: identity.value,
        restored,
        writer,
        segmentNumber,
      }),
    );
  }

  append(batch: LogBatch): Promise<Result<void, StorageProblem>> {
    return this.#writer.append(batch);
  }

  /** Size of the current log segment; earlier segments don't count. */
  get segmentBytes(): number {
    return this.#writer.lengthBytes;
  }

  /**
   * Stores a snapshot and starts a new segment with the hard state and entries
   * that follow it. The order makes a crash at any point safe: the new segment
   * is complete before the snapshot makes the old segments unnecessary, and
   * the old segments are removed last.
   *
   * @returns "disk-full" or "sync-failed" if the new segment can't be written.
   * @throws if a file can't be created, renamed, synced or removed, also when
   *   the disk is full while the snapshot file is written.
   */
  async saveSnapshot(
    snapshot: SnapshotData,
    tail: { hardState: HardState; entries: LogBatch["entries"] },
  ): Promise<Result<void, StorageProblem>> {
    const segmentNumber = this.#segmentNumber + 1;
    const path = join(this.#folder, segmentFileName(segmentNumber));
    // The segment gets its final name only once complete: it begins with a
    // truncation of the log, so a torn one would lose confirmed entries.
    const temporary = `${path}.new`;
    await rm(temporary, { force: true });
    const file = await NodeLogFile.open(temporary);
    const writer = new LogWriter(file, 0);
    const written = await writer.append({
      hardState: tail.hardState,
      truncateFrom: snapshot.lastIndex + 1,
      entries: tail.entries,
    });
    if (written.isErr) {
      await writer.close();
      await rm(temporary, { force: true });
      return written;
    }
    await rename(temporary, path);
    await syncFolder(this.#folder);
    await writeDurably(
      join(this.#folder, SNAPSHOT_FILE),
      encodeSnapshot(snapshot),
    );
    await this.#writer.close();
    this.#writer = writer;
    this.#segmentNumber = segmentNumber;
    await this.#removeSegmentsBefore(segmentNumber);
    return Result.ok(undefined);
  }

  async close(): Promise<void> {
    await this.#writer.close();
    await rm(join(this.#folder, "lock"), { force: true });
  }

  async #removeSegmentsBefore(segmentNumber: number): Promise<void> {
    for (const number of await listSegmentNumbers(this.#folder)) {
      if (number < segmentNumber) {
        await rm(join(this.#folder, segmentFileName(number)));
      }
    }
  }
}

async function listSegmentNumbers(folder: string): Promise<number[]> {
  return (await readdir(folder))
    .map((file) => SEGMENT_PATTERN.exec(file)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((left, right) => left - right);
}

async function readIdentity(
  folder: string,
  name: string,
): Promise<Result<MemberIdentity, StorageProblem>> {
  const path = join(folder, IDENTITY_FILE);
  const text = await readFile(path, "utf8").catch(() => undefined);
  if (text === undefined) {
    if ((await listSegmentNumbers(folder)).length > 0) {
      return Result.err(damagedProblem(path, "is missing beside a log"));
    }
    const id = `${name}-${randomBytes(ID_RANDOM_BYTES).toString("hex")}`;
    const identity: MemberIdentity = { format: 1, name, id };
    await writeDurably(
      path,
      new TextEncoder().encode(JSON.stringify(identity)),
    );
    return Result.ok(identity);
  }
  const parsed = memberIdentitySchema.safeParse(parseJson(text));
  if (!parsed.success) return Result.err(damagedProblem(path, "can't be read"));
  if (parsed.data.name !== name) {
    return Result.err({
      kind: "other-member",
      detail: `${folder} belongs to ${parsed.data.name}, not to ${name}`,
    });
  }
  return Result.ok(parsed.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function encodeSnapshot(snapshot: SnapshotData): Buffer {
  const payload = toBinary(SnapshotDataSchema, snapshot);
  const bytes = Buffer.alloc(CRC_BYTES + payload.length);
  bytes.writeUInt32LE(crc32(payload), 0);
  bytes.set(payload, CRC_BYTES);
  return bytes;
}

async function readSnapshot(
  folder: string,
): Promise<Result<SnapshotData, StorageProblem>> {
  const path = join(folder, SNAPSHOT_FILE);
  const bytes = await readFile(path).catch(() => undefined);
  if (bytes === undefined) return Result.ok(create(SnapshotDataSchema));
  const payload = bytes.subarray(CRC_BYTES);
  if (
    bytes.length < CRC_BYTES || crc32(payload) !== bytes.readUInt32LE(0)
  ) {
    return Result.err(damagedProblem(path, "has a bad checksum"));
  }
  return Result.ok(fromBinary(SnapshotDataSchema, payload));
}

async function readLog(folder: string, snapshot: SnapshotData) {
  const segmentNumbers = await listSegmentNumbers(folder);
  const records = [];
  let validBytes = 0;
  for (const number of segmentNumbers) {
    const path = join(folder, segmentFileName(number));
    const bytes = await readFile(path);
    const read = readSegment(bytes);
    if (read.isErr) {
      return Result.err(
        damagedProblem(path, `is damaged at byte ${read.error}`),
      );
    }
    const isTorn = read.value.validBytes < bytes.length;
    if (isTorn && number !== segmentNumbers.at(-1)) {
      return Result.err(
        damagedProblem(path, `is damaged at byte ${read.value.validBytes}`),
      );
    }
    records.push(...read.value.records);
    validBytes = read.value.validBytes;
  }
  return Result.ok({
    restored: replayRecords(snapshot, records),
    segmentNumber: segmentNumbers.at(-1) ?? 1,
    validBytes,
  });
}
