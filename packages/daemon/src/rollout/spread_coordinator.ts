import { create } from "@bufbuild/protobuf";
import type { ChunkAssignment } from "@teaselrouter/core/spread/chunk_assignment.ts";
import { ChunkSet } from "@teaselrouter/core/spread/chunk_set.ts";
import type { SpreadPolicy } from "@teaselrouter/core/spread/spread_policy.ts";
import { SpreadTable } from "@teaselrouter/core/spread/spread_table.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import { WeightBlocks } from "@teaselrouter/core/spread/weight_blocks.ts";
import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import type {
  ChunkReport,
  EntryToAgent,
} from "@teaselrouter/messages/agent.ts";
import { EntryToAgentSchema } from "@teaselrouter/messages/agent.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const REPLAN_INTERVAL_MILLISECONDS = 100;
/** Reports of many hosts that arrive within this time lead to one plan. */
const REPORT_BATCH_MILLISECONDS = 10;
/**
 * Short, because a source that froze recovers within seconds and may hold
 * blocks that no other host has.
 */
const SOURCE_AVOIDANCE_MILLISECONDS = 1_500;
const MAX_PEERS_PER_PLAN = 8;
const MAX_DEFERRED_REPORTS = 10_000;

type Host = {
  backendServer: string;
  dataCentre: string;
  chunkAddress: string;
  linkBytesPerSecond: number;
  send: (message: EntryToAgent) => void;
};

type Options = { dataCentre: string; policy: SpreadPolicy };

/**
 * Plans block transfers to the hosts of one data centre, for the agents or
 * stagers that chose this process as their coordinator. Its state consists
 * only of what they reported: a new coordinator starts from their next
 * reports.
 */
export class SpreadCoordinator {
  #options: Options;
  #hosts = new Map<string, Host>();
  #tables = new Map<string, SpreadTable>();
  /** Reports on versions that this process doesn't know yet. */
  #deferred: { backendServer: string; report: ChunkReport }[] = [];
  #isPlanScheduled = false;
  /** Runs while a host that follows the plans lacks blocks. */
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#tables.clear();
    this.#stopReplanning();
  }

  /**
   * Starts to plan for a version, with the reports that arrived before it was
   * known. Tables of older versions stay until `keepVersions` drops them.
   */
  addVersion(manifest: WeightsManifest): void {
    const version = versionName(manifest);
    if (this.#tables.has(version)) return;
    // Hosts exchange whole blocks: in SpreadTable, in plans and in chunk
    // reports, "chunk" means a block.
    const blocks = new WeightBlocks(manifest);
    this.#tables.set(
      version,
      new SpreadTable({
        version,
        totalChunks: blocks.count,
        chunkBytes: manifest.chunk_bytes * blocks.chunksPerBlock,
        dataCentre: this.#options.dataCentre,
      }),
    );
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const { backendServer, report } of deferred) {
      this.recordReport(backendServer, report);
    }
  }

  /** Stops planning for all versions except these. */
  keepVersions(versions: Set<string>): void {
    for (const version of [...this.#tables.keys()]) {
      if (!versions.has(version)) this.#tables.delete(version);
    }
  }

  addHost(host: Host): void {
    this.#hosts.set(host.backendServer, host);
  }

  removeHost(backendServer: string): void {
    this.#hosts.delete(backendServer);
    for (const table of this.#tables.values()) table.removeHost(backendServer);
    this.#schedulePlan();
  }

  recordReport(backendServer: string, report: ChunkReport): void {
    const host = this.#hosts.get(backendServer);
    const table = this.#tables.get(report.version);
    if (host === undefined) return;
    if (table === undefined) return this.#deferReport(backendServer, report);
    if (report.whole || table.host(backendServer) === undefined) {
      table.setHost({
        host: backendServer,
        dataCentre: host.dataCentre,
        address: host.chunkAddress,
        held: new ChunkSet(table.totalChunks),
        linkBytesPerSecond: host.linkBytesPerSecond,
        followsPlans: report.followsPlans,
      });
    }
    const now = monotonicMilliseconds();
    for (const block of report.failed) {
      const until = now + SOURCE_AVOIDANCE_MILLISECONDS;
      table.failTransfer(backendServer, block, { now, until });
    }
    for (const block of report.added) {
      table.addChunk(backendServer, block, now);
    }
    table.host(backendServer)!.followsPlans = report.followsPlans;
    table.markResponsive(backendServer);
    this.#schedulePlan();
  }

  #deferReport(backendServer: string, report: ChunkReport): void {
    this.#deferred.push({ backendServer, report });
    if (this.#deferred.length > MAX_DEFERRED_REPORTS) this.#deferred.shift();
  }

  #schedulePlan(): void {
    if (this.#isPlanScheduled) return;
    this.#isPlanScheduled = true;
    setTimeout(() => {
      this.#isPlanScheduled = false;
      this.#plan();
    }, REPORT_BATCH_MILLISECONDS);
  }

  #stopReplanning(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #plan(): void {
    const now = monotonicMilliseconds();
    const hasMissingChunks = [...this.#tables.values()].some((table) =>
      table.hasMissingChunks
    );
    if (!hasMissingChunks) return this.#stopReplanning();
    this.#timer ??= setInterval(
      () => this.#plan(),
      REPLAN_INTERVAL_MILLISECONDS,
    );
    for (const table of this.#tables.values()) {
      if (!table.hasMissingChunks) continue;
      table.expireTransfers(now);
      const assignments = this.#options.policy.plan(table, now);
      for (const [host, orders] of groupByHost(assignments)) {
        this.#sendPlan(table, host, orders);
      }
    }
  }

  #sendPlan(table: SpreadTable, host: string, orders: ChunkAssignment[]): void {
    this.#hosts.get(host)?.send(create(EntryToAgentSchema, {
      body: {
        case: "plan",
        value: {
          version: table.version,
          orders: orders.map(({ chunk, source }) => ({
            chunk,
            source: table.host(source)?.address ?? "",
          })),
          peers: this.#listPeersFor(table, host),
        },
      },
    }));
  }

  #listPeersFor(table: SpreadTable, host: string): string[] {
    return table.hosts
      .filter((row) =>
        row.host !== host && row.dataCentre === table.dataCentre &&
        row.held.count > 0
      )
      .slice(0, MAX_PEERS_PER_PLAN)
      .map((row) => row.address);
  }
}

function groupByHost(
  assignments: ChunkAssignment[],
): Map<string, ChunkAssignment[]> {
  const groups = new Map<string, ChunkAssignment[]>();
  for (const assignment of assignments) {
    const group = groups.get(assignment.host);
    if (group === undefined) groups.set(assignment.host, [assignment]);
    else group.push(assignment);
  }
  return groups;
}
