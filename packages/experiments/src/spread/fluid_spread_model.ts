import process from "node:process";
import { ChunkSet } from "@teaselrouter/core/spread/chunk_set.ts";
import type { SpreadPolicy } from "@teaselrouter/core/spread/spread_policy.ts";
import { SpreadTable } from "@teaselrouter/core/spread/spread_table.ts";

const ORIGIN = "";
const STEPS_PER_CHUNK = 8;

type Options = {
  hosts: number;
  dataCentres: number;
  chunks: number;
  /** Bandwidths, in copies of the weights per unit of time. */
  hostBandwidth: number;
  originBandwidth: number;
  /** Between a data centre and all others together, in each direction. */
  regionBandwidth: number;
  /**
   * Time from a host's first unreported chunk until its report, of all chunks
   * so far, is planned with: by the coordinator of its own data centre and by
   * the others. Without it, coordinators learn of each chunk at once.
   */
  reportTimes?: { local: number; remote: number };
  policyFor: (dataCentre: string) => SpreadPolicy;
  /** Called after each step, to inject failures. */
  onStep?: (model: FluidSpreadModel, time: number) => void;
};

type Flow = {
  table: SpreadTable;
  host: string;
  chunk: number;
  source: string;
  /** Share of the chunk still to be transferred. */
  remaining: number;
  /** Chunks per unit of time. */
  rate: number;
  linkIndexes: number[];
};

type Report = {
  dueAt: number;
  table: SpreadTable;
  host: string;
  chunks: number[];
};

type Result = {
  time: number;
  /** When hosts held all chunks, as known to their coordinators; ascending. */
  completionTimes: number[];
  originCopies: number;
  /**
   * Copies of the weights that a data centre received from the others, for the
   * data centre that received the most.
   */
  maxInboundCopies: number;
  assignments: number;
  /** Mean time that the planner took per assignment. */
  planMicroseconds: number;
};

/**
 * Runs the spread planner of every data centre against a fluid-flow model of
 * the network: each link divides its bandwidth equally among the transfers that
 * use it, and a transfer runs at the lowest of its shares.
 */
export class FluidSpreadModel {
  readonly dataCentres: string[];
  readonly dataCentreOf = new Map<string, string>();
  readonly tables = new Map<string, SpreadTable>();
  /** Hosts that send nothing more but keep their connections open. */
  readonly stalled = new Set<string>();
  /** Data centres disconnected from all others and from the origin. */
  readonly cutOff = new Set<string>();
  isOriginDown = false;
  #options: Options;
  #policies = new Map<string, SpreadPolicy>();
  #flows: Flow[] = [];
  #originChunks = 0;
  #inboundChunks = new Map<string, number>();
  #assignments = 0;
  #planNanoseconds = 0n;
  #deadHosts = new Set<string>();
  /** Reports on the way, at most one from a host to a coordinator. */
  #reports: Report[] = [];
  #completionTimes = new Map<string, number>();
  #linkIndexes = new Map<string, number>();
  #linkBandwidths: number[] = [];
  #flowCounts: number[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.dataCentres = Array.from(
      { length: options.dataCentres },
      (_, index) => `dc${index}`,
    );
    for (const dataCentre of this.dataCentres) {
      this.#policies.set(dataCentre, options.policyFor(dataCentre));
      this.tables.set(
        dataCentre,
        new SpreadTable({
          version: "model@1",
          totalChunks: options.chunks,
          chunkBytes: 1,
          dataCentre,
        }),
      );
    }
    for (let index = 0; index < options.hosts; index += 1) {
      const dataCentre = this.dataCentres[index % options.dataCentres]!;
      this.dataCentreOf.set(`h${index}`, dataCentre);
    }
    for (const host of this.dataCentreOf.keys()) this.addHost(host);
  }

  addHost(host: string): void {
    this.#deadHosts.delete(host);
    for (const table of this.tables.values()) this.#addToTable(table, host);
  }

  /** Removes a failed host, with all chunks that it held. */
  removeHost(host: string): void {
    this.#deadHosts.add(host);
    for (const table of this.tables.values()) table.removeHost(host);
    this.#flows = this.#flows.filter((flow) =>
      flow.host !== host && flow.source !== host
    );
    this.#reports = this.#reports.filter((report) => report.host !== host);
  }

  /**
   * Replaces a data centre's coordinator by one that knows which chunks hosts
   * hold, but no transfers: those that it had planned end.
   */
  replaceCoordinator(dataCentre: string): void {
    const oldTable = this.tables.get(dataCentre)!;
    const table = new SpreadTable({
      version: oldTable.version,
      totalChunks: oldTable.totalChunks,
      chunkBytes: 1,
      dataCentre,
    });
    this.tables.set(dataCentre, table);
    for (const row of oldTable.hosts) table.setHost({ ...row });
    this.#flows = this.#flows.filter((flow) => flow.table !== oldTable);
    for (const report of this.#reports) {
      if (report.table === oldTable) report.table = table;
    }
  }

  get originCopies(): number {
    return this.#originChunks / this.#options.chunks;
  }

  /**
   * Mean share of the weights that the hosts hold, 0 to 1. A removed host
   * counts as one that holds nothing.
   */
  get progress(): number {
    let held = 0;
    for (const [host, dataCentre] of this.dataCentreOf) {
      held += this.tables.get(dataCentre)!.host(host)?.held.count ?? 0;
    }
    return held / (this.dataCentreOf.size * this.#options.chunks);
  }

  /** Runs until every live host holds all chunks, or until `maxTime`. */
  run(maxTime: number): Result {
    const chunkTime = 1 / this.#options.chunks / this.#options.hostBandwidth;
    const step = chunkTime / STEPS_PER_CHUNK;
    let time = 0;
    while (time < maxTime && !this.#isComplete()) {
      this.#deliverReports(time);
      this.#plan(time);
      this.#updateRates();
      this.#advanceFlows(step, time);
      time += step;
      this.#options.onStep?.(this, time);
    }
    const inboundChunks = [...this.#inboundChunks.values()];
    return {
      time: this.#isComplete() ? time : Infinity,
      completionTimes: [...this.#completionTimes.values()],
      originCopies: this.originCopies,
      maxInboundCopies: Math.max(0, ...inboundChunks) / this.#options.chunks,
      assignments: this.#assignments,
      planMicroseconds: Number(this.#planNanoseconds / 1_000n) /
        Math.max(1, this.#assignments),
    };
  }

  #addToTable(table: SpreadTable, host: string): void {
    table.setHost({
      host,
      dataCentre: this.dataCentreOf.get(host)!,
      address: host,
      held: new ChunkSet(this.#options.chunks),
      linkBytesPerSecond: this.#options.hostBandwidth,
      followsPlans: true,
    });
  }

  #plan(time: number): void {
    for (const [dataCentre, table] of this.tables) {
      const before = process.hrtime.bigint();
      const assignments = this.#policies.get(dataCentre)!.plan(table, time);
      this.#planNanoseconds += process.hrtime.bigint() - before;
      this.#assignments += assignments.length;
      for (const assignment of assignments) {
        const linkIndexes = this.#linksOf(assignment.host, assignment.source);
        this.#flows.push({
          table,
          ...assignment,
          remaining: 1,
          rate: 0,
          linkIndexes,
        });
      }
    }
  }

  #updateRates(): void {
    this.#flowCounts.fill(0);
    for (const { linkIndexes } of this.#flows) {
      for (const link of linkIndexes) this.#flowCounts[link]! += 1;
    }
    for (const flow of this.#flows) {
      let rate = this.#isBlocked(flow) ? 0 : Infinity;
      for (const link of flow.linkIndexes) {
        rate = Math.min(
          rate,
          this.#linkBandwidths[link]! / this.#flowCounts[link]!,
        );
      }
      flow.rate = rate * this.#options.chunks;
    }
  }

  /** Indexes of the links that a transfer uses. */
  #linksOf(host: string, source: string): number[] {
    const to = this.dataCentreOf.get(host)!;
    if (source === ORIGIN) {
      return [this.#linkIndexOf("origin"), this.#linkIndexOf(`down ${host}`)];
    }
    const from = this.dataCentreOf.get(source)!;
    const links = [
      this.#linkIndexOf(`up ${source}`),
      this.#linkIndexOf(`down ${host}`),
    ];
    if (from === to) return links;
    return [
      ...links,
      this.#linkIndexOf(`out ${from}`),
      this.#linkIndexOf(`in ${to}`),
    ];
  }

  #linkIndexOf(name: string): number {
    let link = this.#linkIndexes.get(name);
    if (link === undefined) {
      link = this.#linkBandwidths.length;
      this.#linkIndexes.set(name, link);
      this.#linkBandwidths.push(this.#bandwidthOf(name));
      this.#flowCounts.push(0);
    }
    return link;
  }

  #bandwidthOf(name: string): number {
    if (name === "origin") return this.#options.originBandwidth;
    const isRegionLink = name.startsWith("out ") || name.startsWith("in ");
    return isRegionLink
      ? this.#options.regionBandwidth
      : this.#options.hostBandwidth;
  }

  #isBlocked(flow: Flow): boolean {
    if (this.stalled.has(flow.source)) return true;
    const to = this.dataCentreOf.get(flow.host)!;
    if (flow.source === ORIGIN) return this.isOriginDown || this.cutOff.has(to);
    const from = this.dataCentreOf.get(flow.source)!;
    return from !== to &&
      (this.cutOff.has(from) || this.cutOff.has(to));
  }

  #advanceFlows(step: number, time: number): void {
    const unfinished: Flow[] = [];
    for (const flow of this.#flows) {
      if (flow.table.transfersOf(flow.host).get(flow.chunk) === undefined) {
        continue;
      }
      flow.remaining -= flow.rate * step;
      if (flow.remaining > 1e-9) unfinished.push(flow);
      else this.#completeTransfer(flow, time);
    }
    this.#flows = unfinished;
  }

  #completeTransfer(flow: Flow, time: number): void {
    const to = this.dataCentreOf.get(flow.host)!;
    if (flow.source === ORIGIN) this.#originChunks += 1;
    else if (this.dataCentreOf.get(flow.source) !== to) {
      this.#inboundChunks.set(to, (this.#inboundChunks.get(to) ?? 0) + 1);
    }
    for (const [dataCentre, table] of this.tables) {
      const isCutOff = dataCentre !== to &&
        (this.cutOff.has(dataCentre) ||
          this.cutOff.has(to));
      if (!isCutOff) this.#report(table, flow, time);
    }
  }

  #report(table: SpreadTable, { host, chunk }: Flow, time: number): void {
    const { reportTimes = { local: 0, remote: 0 } } = this.#options;
    const isLocal = table.dataCentre === this.dataCentreOf.get(host);
    const dueAt = time + (isLocal ? reportTimes.local : reportTimes.remote);
    if (dueAt === time) return this.#addChunk(table, host, chunk, time);
    const pending = this.#reports.find((report) =>
      report.table === table && report.host === host
    );
    if (pending !== undefined) pending.chunks.push(chunk);
    else this.#reports.push({ dueAt, table, host, chunks: [chunk] });
  }

  #deliverReports(time: number): void {
    const due = this.#reports.filter(({ dueAt }) => dueAt <= time);
    this.#reports = this.#reports.filter(({ dueAt }) => dueAt > time);
    for (const { table, host, chunks } of due) {
      for (const chunk of chunks) this.#addChunk(table, host, chunk, time);
    }
  }

  #addChunk(
    table: SpreadTable,
    host: string,
    chunk: number,
    time: number,
  ): void {
    table.addChunk(host, chunk, time);
    if (table.dataCentre !== this.dataCentreOf.get(host)) return;
    if (table.host(host)?.held.isComplete && !this.#completionTimes.has(host)) {
      this.#completionTimes.set(host, time);
    }
  }

  /**
   * Fails all transfers that make no progress, as agents do after a timeout.
   * Their hosts avoid the sources until `avoidUntil`.
   */
  failBlockedTransfers(avoidUntil: number): void {
    for (const flow of this.#flows) {
      if (!this.#isBlocked(flow)) continue;
      flow.table.failTransfer(flow.host, flow.chunk, {
        now: avoidUntil,
        until: avoidUntil,
      });
    }
  }

  #isComplete(): boolean {
    for (const [host, dataCentre] of this.dataCentreOf) {
      if (this.#deadHosts.has(host)) continue;
      const row = this.tables.get(dataCentre)!.host(host);
      if (row !== undefined && !row.held.isComplete) return false;
    }
    return true;
  }
}
