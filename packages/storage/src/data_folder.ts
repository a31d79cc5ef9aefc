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
const SEGMENT = /^log-(\d{8})\.bin$/;
const CRC_BYTES = 4;
const RANDOM_BYTES = 6;

function segmentName(number: number): string {
  return `log-${String(number).padStart(8, "0")}.bin`;
}

function damaged(file: string, detail: string): StorageProblem {
  return {
    kind: "damaged",
    detail: `${file} ${detail}; replace this member (docs/OPERATIONS.md)`,
  };
}

/** One member's durable state: whose it is, a snapshot, and the log. */
export class DataFolder {
  readonly identity: MemberIdentity;
  readonly restored: RestoredLog;
  #folder: string;
  #writer: LogWriter;
  #segment: number;

  private constructor(options: {
    folder: string;
    identity: MemberIdentity;
    restored: RestoredLog;
    writer: LogWriter;
    segment: number;
  }) {
    this.#folder = options.folder;
    this.identity = options.identity;
    this.restored = options.restored;
    this.#writer = options.writer;
    this.#segment = options.segment;
  }

  /** Opens a member's folder, or founds an empty one under a new id. */
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
    const { restored, segment, wholeBytes } = log.value;
    const file = await NodeLogFile.open(join(folder, segmentName(segment)));
    await file.truncate(wholeBytes);
    await syncFolder(folder);
    const writer = new LogWriter(file, wholeBytes);
    return Result.ok(
      new DataFolder({
        folder,
        identity: identity.value,
        restored,
        writer,
        segment,
      }),
    );
  }

  append(batch: LogBatch): Promise<Result<void, StorageProblem>> {
    return this.#writer.append(batch);
  }

  get segmentBytes(): number {
    return this.#writer.length;
  }

  /**
   * Stores a snapshot and begins a new segment with what follows it. The
   * order keeps every crash safe: the new segment is whole before the
   * snapshot names it unneeded, and old segments go last.
   */
  async saveSnapshot(
    snapshot: SnapshotData,
    rest: { hardState: HardState; entries: LogBatch["entries"] },
  ): Promise<Result<void, StorageProblem>> {
    const segment = this.#segment + 1;
    const path = join(this.#folder, segmentName(segment));
    // Under its final name only once whole: a segment that begins by cutting
    // the log and then ends torn would take confirmed entries with it.
    const temporary = `${path}.new`;
    await rm(temporary, { force: true });
    const file = await NodeLogFile.open(temporary);
    const writer = new LogWriter(file, 0);
    const written = await writer.append({
      hardState: rest.hardState,
      truncateFrom: snapshot.lastIndex + 1,
      entries: rest.entries,
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
    this.#segment = segment;
    await this.#removeSegmentsBefore(segment);
    return Result.ok(undefined);
  }

  async close(): Promise<void> {
    await this.#writer.close();
    await rm(join(this.#folder, "lock"), { force: true });
  }

  async #removeSegmentsBefore(segment: number): Promise<void> {
    for (const number of await segmentsIn(this.#folder)) {
      if (number < segment) {
        await rm(join(this.#folder, segmentName(number)));
      }
    }
  }
}

async function segmentsIn(folder: string): Promise<number[]> {
  return (await readdir(folder))
    .map((file) => SEGMENT.exec(file)?.[1])
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
    if ((await segmentsIn(folder)).length > 0) {
      return Result.err(damaged(path, "is missing beside a log"));
    }
    const id = `${name}-${randomBytes(RANDOM_BYTES).toString("hex")}`;
    const identity: MemberIdentity = { format: 1, name, id };
    await writeDurably(
      path,
      new TextEncoder().encode(JSON.stringify(identity)),
    );
    return Result.ok(identity);
  }
  const parsed = memberIdentitySchema.safeParse(parseJson(text));
  if (!parsed.success) return Result.err(damaged(path, "can't be read"));
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
    return Result.err(damaged(path, "has a bad checksum"));
  }
  return Result.ok(fromBinary(SnapshotDataSchema, payload));
}

async function readLog(folder: string, snapshot: SnapshotData) {
  const numbers = await segmentsIn(folder);
  const records = [];
  let wholeBytes = 0;
  for (const number of numbers) {
    const path = join(folder, segmentName(number));
    const bytes = await readFile(path);
    const read = readSegment(bytes);
    if (read.isErr) {
      return Result.err(damaged(path, `is damaged at byte ${read.error}`));
    }
    const torn = read.value.wholeBytes < bytes.length;
    if (torn && number !== numbers.at(-1)) {
      return Result.err(
        damaged(path, `is damaged at byte ${read.value.wholeBytes}`),
      );
    }
    records.push(...read.value.records);
    wholeBytes = read.value.wholeBytes;
  }
  return Result.ok({
    restored: replayRecords(snapshot, records),
    segment: numbers.at(-1) ?? 1,
    wholeBytes,
  });
}
