import type { RaftNode } from "@teaselrouter/core/consensus/raft_node.ts";
import type { RaftOutput } from "@teaselrouter/core/consensus/raft_output.ts";
import type {
  LogEntry,
  Member,
  PeerMessage,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";
import type { DataFolder } from "@teaselrouter/storage/data_folder.ts";
import type { StorageProblem } from "@teaselrouter/storage/storage_problem.ts";
import { Subject } from "rxjs";
import type { Result } from "true-myth";
import type { EventLog } from "../log/event_log.ts";
import { sleep } from "../transport/sleep.ts";
import type { PeerLinks } from "./peer_links.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const TICK_INTERVAL_MILLISECONDS = 20;
const FULL_DISK_RETRY_MILLISECONDS = 500;
/** Half of an election time: two of these in a row can cost a leader its term. */
const LOGGED_STALL_MILLISECONDS = 200;
/** Heartbeats wait behind so many bytes of entries on a link between regions. */
const LOGGED_ENTRY_BYTES = 65_536;

type Options = {
  node: RaftNode;
  folder: DataFolder;
  links: PeerLinks;
  log: EventLog;
  snapshotBytes: number;
  /** Members known before the log contains any. */
  knownMembers: Member[];
  /** Encodes the state machine after the last applied entry. */
  encodeState: () => { index: number; state: Uint8Array };
  /** Called on a failure after which this process can't continue safely. */
  stopProcess: (reason: string) => void;
};

/**
 * Runs a Raft member on this host: writes and syncs its output to disk, then
 * sends its messages. Proposals made during a sync share the next one.
 */
export class RaftDriver {
  readonly committed$ = new Subject<LogEntry>();
  /** Entries that are on this host's disk, whether or not they are committed. */
  readonly stored$ = new Subject<LogEntry>();
  readonly snapshotInstalled$ = new Subject<SnapshotData>();
  /** Emits when the known leader, or whether this member leads, changes. */
  readonly leadership$ = new Subject<void>();
  #options: Options;
  #addresses = new Map<string, string>();
  #isProcessing = false;
  #isFlushScheduled = false;
  #isStopped = false;
  #lastLeadership = { leader: "", isLeading: false };
  #timer: NodeJS.Timeout | undefined;
  #tickedAt = monotonicMilliseconds();

  constructor(options: Options) {
    this.#options = options;
    this.addKnownMembers(options.knownMembers);
  }

  /** Adds members that this host can answer before the log contains them. */
  addKnownMembers(members: Member[]): void {
    for (const { id, address } of members) this.#addresses.set(id, address);
  }

  start(): void {
    this.#tickedAt = monotonicMilliseconds();
    this.#timer = setInterval(() => {
      const now = monotonicMilliseconds();
      this.#logStall(now - this.#tickedAt);
      this.#tickedAt = now;
      this.#options.node.tick(now);
      this.#processOutput();
      this.#publishLeadershipChange();
    }, TICK_INTERVAL_MILLISECONDS);
    this.#processOutput();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    clearInterval(this.#timer);
    while (this.#isProcessing) await sleep(5);
    await this.#options.folder.close();
  }

  receive(message: PeerMessage): void {
    if (this.#isStopped) return;
    this.#options.log.timeline.observe(Date.now(), {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    this.#logLargeEntries(message);
    this.#options.node.receive(message, monotonicMilliseconds());
    this.#processOutput();
  }

  /** Sends all proposals of this event loop turn as one batch. */
  scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      this.#options.node.flush(monotonicMilliseconds());
      this.#processOutput();
    });
  }

  #logStall(milliseconds: number): void {
    if (milliseconds < LOGGED_STALL_MILLISECONDS) return;
    this.#options.log.warn("stood-still", {
      milliseconds: Math.round(milliseconds),
      leader: this.#options.node.leaderId || "none",
    });
  }

  /** By the clocks of both hosts, which may differ. */
  #logLargeEntries({ from, body, clockTime }: PeerMessage): void {
    if (body.case !== "appendRequest") return;
    const bytes = countBytes(body.value.entries);
    if (bytes < LOGGED_ENTRY_BYTES) return;
    this.#options.log.info("large-entries-received", {
      from,
      bytes,
      milliseconds: Math.round(Date.now() - clockTime),
    });
  }

  #publishLeadershipChange(): void {
    const { node } = this.#options;
    const isLeading = node.isLeading(monotonicMilliseconds()) &&
      node.hasCommittedOwnTerm;
    const { leaderId: leader } = node;
    const known = this.#lastLeadership;
    if (leader === known.leader && isLeading === known.isLeading) return;
    if (known.isLeading && !isLeading) {
      this.#options.log.info("leadership-lost", { term: node.term });
    }
    this.#lastLeadership = { leader, isLeading };
    this.leadership$.next();
  }

  #processOutput(): void {
    this.#sendAll(this.#options.node.takeImmediateMessages());
    if (
      this.#isProcessing || this.#isStopped || !this.#options.node.hasOutput
    ) return;
    this.#isProcessing = true;
    this.#processUntilEmpty()
      .catch((error) => this.#options.stopProcess(String(error.stack ?? error)))
      .finally(() => {
        this.#isProcessing = false;
      });
  }

  async #processUntilEmpty(): Promise<void> {
    while (!this.#isStopped) {
      const output = this.#options.node.takeOutput();
      this.#sendAll(output.immediateMessages);
      if (!(await this.#persist(output))) return;
      this.#sendAll(output.messagesAfterSync);
      for (const entry of output.committed) this.committed$.next(entry);
      await this.#compactIfDue();
      if (isEmpty(output)) return;
    }
  }

  async #persist(output: RaftOutput): Promise<boolean> {
    const { folder, node } = this.#options;
    if (output.snapshot !== undefined) {
      const saved = await this.#retryWhileDiskFull(() =>
        folder.saveSnapshot(output.snapshot!, {
          hardState: node.hardState,
          entries: [],
        })
      );
      if (!saved) return false;
      this.snapshotInstalled$.next(output.snapshot);
    }
    const last = output.entries.at(-1);
    const startedAt = monotonicMilliseconds();
    const writes = last !== undefined || output.hardState !== undefined ||
      output.truncateFrom !== undefined;
    if (
      writes && !(await this.#retryWhileDiskFull(() => folder.append(output)))
    ) {
      return false;
    }
    this.#logStored(countBytes(output.entries), startedAt);
    for (const entry of output.entries) this.stored$.next(entry);
    if (last !== undefined) node.markSynced(last.index, last.term);
    return true;
  }

  #logStored(bytes: number, startedAt: number): void {
    if (bytes < LOGGED_ENTRY_BYTES) return;
    this.#options.log.info("large-entries-stored", {
      bytes,
      milliseconds: Math.round(monotonicMilliseconds() - startedAt),
    });
  }

  /**
   * Repeats a write until the disk has space. Nothing is acknowledged in the
   * meantime, so another member takes over leadership. Any other failure ends
   * the process. Returns false if the driver stops first.
   */
  async #retryWhileDiskFull(
    write: () => Promise<Result<void, StorageProblem>>,
  ): Promise<boolean> {
    let isLogged = false;
    while (!this.#isStopped) {
      const written = await write();
      if (written.isOk) return true;
      const { kind, detail } = written.error;
      if (kind !== "disk-full") {
        this.#options.stopProcess(`${kind}: ${detail}`);
        return false;
      }
      if (!isLogged) this.#options.log.error("disk-full", { detail });
      isLogged = true;
      await sleep(FULL_DISK_RETRY_MILLISECONDS);
    }
    return false;
  }

  async #compactIfDue(): Promise<void> {
    const { folder, node, snapshotBytes, encodeState } = this.#options;
    if (folder.segmentBytes < snapshotBytes) return;
    const { index, state } = encodeState();
    if (index < node.firstIndex) return;
    const snapshot = node.compact(index, state);
    const saved = await folder.saveSnapshot(snapshot, {
      hardState: node.hardState,
      entries: node.entriesAfter(index),
    });
    if (saved.isErr && saved.error.kind !== "disk-full") {
      this.#options.stopProcess(saved.error.detail);
    }
  }

  #sendAll(messages: PeerMessage[]): void {
    for (const message of messages) {
      const address = this.#addressOf(message.to);
      if (address === undefined) continue;
      const clock = this.#options.log.timeline.stampMessage(Date.now());
      message.clockTime = clock.time;
      message.clockCounter = clock.counter;
      this.#options.links.send(address, message);
    }
  }

  #addressOf(id: string): string | undefined {
    for (const member of this.#options.node.membership.members) {
      this.#addresses.set(member.id, member.address);
    }
    return this.#addresses.get(id);
  }
}

function countBytes(entries: LogEntry[]): number {
  return entries.reduce((bytes, { data }) => bytes + data.length, 0);
}

function isEmpty(output: RaftOutput): boolean {
  return output.entries.length === 0 && output.messagesAfterSync.length === 0 &&
    output.committed.length === 0 && output.hardState === undefined &&
    output.snapshot === undefined;
}
