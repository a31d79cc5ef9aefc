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
import { pause } from "../transport/pause.ts";
import type { PeerLinks } from "./peer_links.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const TICK_MILLISECONDS = 20;
const FULL_DISK_RETRY_MILLISECONDS = 500;

type Options = {
  node: RaftNode;
  folder: DataFolder;
  links: PeerLinks;
  log: EventLog;
  snapshotBytes: number;
  /** Members known before the log names any. */
  knownMembers: Member[];
  /** The state machine's tables at the last entry handed out. */
  encodeState: () => { index: number; state: Uint8Array };
  /** Called when nothing that follows could be trusted. */
  stopProcess: (reason: string) => void;
};

/**
 * Runs a consensus member on this host: writes and syncs what it says, then
 * sends. What is proposed while a sync is under way shares the next one.
 */
export class RaftDriver {
  readonly committed$ = new Subject<LogEntry>();
  readonly installed$ = new Subject<SnapshotData>();
  /** Another member leads, or this one does or no longer does. */
  readonly leadership$ = new Subject<void>();
  #options: Options;
  #addresses = new Map<string, string>();
  #running = false;
  #flushPlanned = false;
  #stopped = false;
  #leadershipView = { leader: "", leads: false };
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.learnMembers(options.knownMembers);
  }

  /** Members that this host can answer before the log names them. */
  learnMembers(members: Member[]): void {
    for (const { id, address } of members) this.#addresses.set(id, address);
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#options.node.tick(monotonicMilliseconds());
      this.#pump();
      this.#noteLeadership();
    }, TICK_MILLISECONDS);
    this.#pump();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    clearInterval(this.#timer);
    while (this.#running) await pause(5);
    await this.#options.folder.close();
  }

  receive(message: PeerMessage): void {
    if (this.#stopped) return;
    this.#options.log.ring.observe(Date.now(), {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    this.#options.node.receive(message, monotonicMilliseconds());
    this.#pump();
  }

  /** Sends what was proposed in this turn of the event loop as one batch. */
  flushSoon(): void {
    if (this.#flushPlanned) return;
    this.#flushPlanned = true;
    setImmediate(() => {
      this.#flushPlanned = false;
      this.#options.node.flush(monotonicMilliseconds());
      this.#pump();
    });
  }

  #noteLeadership(): void {
    const { node } = this.#options;
    const leads = node.isLeading(monotonicMilliseconds()) &&
      node.hasCommittedOwnTerm;
    const { leaderId: leader } = node;
    const known = this.#leadershipView;
    if (leader === known.leader && leads === known.leads) return;
    this.#leadershipView = { leader, leads };
    this.leadership$.next();
  }

  #pump(): void {
    this.#sendAll(this.#options.node.takeImmediate());
    if (this.#running || this.#stopped || !this.#options.node.hasOutput) return;
    this.#running = true;
    this.#drain()
      .catch((error) => this.#options.stopProcess(String(error.stack ?? error)))
      .finally(() => {
        this.#running = false;
      });
  }

  async #drain(): Promise<void> {
    while (!this.#stopped) {
      const output = this.#options.node.takeOutput();
      this.#sendAll(output.immediate);
      if (!(await this.#store(output))) return;
      this.#sendAll(output.afterSync);
      for (const entry of output.committed) this.committed$.next(entry);
      await this.#takeSnapshotWhenDue();
      if (isEmpty(output)) return;
    }
  }

  async #store(output: RaftOutput): Promise<boolean> {
    const { folder, node } = this.#options;
    if (output.snapshot !== undefined) {
      const saved = await this.#insist(() =>
        folder.saveSnapshot(output.snapshot!, {
          hardState: node.hardState,
          entries: [],
        })
      );
      if (!saved) return false;
      this.installed$.next(output.snapshot);
    }
    const last = output.entries.at(-1);
    const writes = last !== undefined || output.hardState !== undefined ||
      output.truncateFrom !== undefined;
    if (writes && !(await this.#insist(() => folder.append(output)))) {
      return false;
    }
    if (last !== undefined) node.markSynced(last.index, last.term);
    return true;
  }

  /**
   * A full disk is waited out: nothing is confirmed meanwhile, so others take
   * over the lead. Any other failure ends the process.
   */
  async #insist(
    write: () => Promise<Result<void, StorageProblem>>,
  ): Promise<boolean> {
    let told = false;
    while (!this.#stopped) {
      const written = await write();
      if (written.isOk) return true;
      const { kind, detail } = written.error;
      if (kind !== "disk-full") {
        this.#options.stopProcess(`${kind}: ${detail}`);
        return false;
      }
      if (!told) this.#options.log.error("disk-full", { detail });
      told = true;
      await pause(FULL_DISK_RETRY_MILLISECONDS);
    }
    return false;
  }

  async #takeSnapshotWhenDue(): Promise<void> {
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
      const clock = this.#options.log.ring.now(Date.now());
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

function isEmpty(output: RaftOutput): boolean {
  return output.entries.length === 0 && output.afterSync.length === 0 &&
    output.committed.length === 0 && output.hardState === undefined &&
    output.snapshot === undefined;
}
