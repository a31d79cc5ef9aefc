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

const REPLAN_MILLISECONDS = 100;
/** Reports of many hosts are planned for together. */
const GATHER_MILLISECONDS = 10;
/** A source that froze is back within seconds, and may hold what no other has. */
const AVOID_MILLISECONDS = 1_500;
const PEERS_TOLD = 8;
const MOST_EARLY = 10_000;

type Host = {
  backendServer: string;
  dataCentre: string;
  chunkAddress: string;
  linkBytesPerSecond: number;
  send: (message: EntryToAgent) => void;
};

type Options = { dataCentre: string; policy: SpreadPolicy };

/**
 * Plans the spread within this entry host's data centre, for the agents that
 * chose it. All it knows is what agents reported: a new one starts from
 * their next reports.
 */
export class SpreadCoordinator {
  #options: Options;
  #hosts = new Map<string, Host>();
  #tables = new Map<string, SpreadTable>();
  /** Reports on versions that this entry host has not heard of yet. */
  #early: { backendServer: string; report: ChunkReport }[] = [];
  #planned = false;
  /** Runs while a host here lacks something. */
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    this.#tables.clear();
    this.#rest();
  }

  /** Begins a version's table; older versions' are kept until dropped. */
  addVersion(manifest: WeightsManifest): void {
    const version = versionName(manifest);
    if (this.#tables.has(version)) return;
    // What goes from host to host as one is one chunk to the plan.
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
    const early = this.#early;
    this.#early = [];
    for (const { backendServer, report } of early) {
      this.takeReport(backendServer, report);
    }
  }

  /** Drops the tables of all versions but these. */
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
    this.#planSoon();
  }

  takeReport(backendServer: string, report: ChunkReport): void {
    const host = this.#hosts.get(backendServer);
    const table = this.#tables.get(report.version);
    if (host === undefined) return;
    if (table === undefined) return this.#keepEarly(backendServer, report);
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
    for (const chunk of report.failed) {
      const until = now + AVOID_MILLISECONDS;
      table.failTransfer(backendServer, chunk, { now, until });
    }
    for (const chunk of report.added) {
      table.addChunk(backendServer, chunk, now);
    }
    table.host(backendServer)!.followsPlans = report.followsPlans;
    table.noteHeard(backendServer);
    this.#planSoon();
  }

  #keepEarly(backendServer: string, report: ChunkReport): void {
    this.#early.push({ backendServer, report });
    if (this.#early.length > MOST_EARLY) this.#early.shift();
  }

  #planSoon(): void {
    if (this.#planned) return;
    this.#planned = true;
    setTimeout(() => {
      this.#planned = false;
      this.#plan();
    }, GATHER_MILLISECONDS);
  }

  #rest(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #plan(): void {
    const now = monotonicMilliseconds();
    const hasWork = [...this.#tables.values()].some((table) => table.hasWork);
    if (!hasWork) return this.#rest();
    this.#timer ??= setInterval(() => this.#plan(), REPLAN_MILLISECONDS);
    for (const table of this.#tables.values()) {
      if (!table.hasWork) continue;
      table.endOverdue(now);
      const assignments = this.#options.policy.plan(table, now);
      for (const [host, orders] of groupByHost(assignments)) {
        this.#send(table, host, orders);
      }
    }
  }

  #send(table: SpreadTable, host: string, orders: ChunkAssignment[]): void {
    this.#hosts.get(host)?.send(create(EntryToAgentSchema, {
      body: {
        case: "plan",
        value: {
          version: table.version,
          orders: orders.map(({ chunk, source }) => ({
            chunk,
            source: table.host(source)?.address ?? "",
          })),
          peers: this.#peersFor(table, host),
        },
      },
    }));
  }

  #peersFor(table: SpreadTable, host: string): string[] {
    return table.hosts
      .filter((row) =>
        row.host !== host && row.dataCentre === table.dataCentre &&
        row.held.count > 0
      )
      .slice(0, PEERS_TOLD)
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
