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
  /** Links in copies of the model a unit of time. */
  hostLink: number;
  originLink: number;
  /** Between each data centre and all others together, each way. */
  regionLink: number;
  policyFor: (dataCentre: string) => SpreadPolicy;
  /** Called after each step, to bring failures about. */
  onStep?: (model: FluidSpread, time: number) => void;
};

type Flow = {
  table: SpreadTable;
  host: string;
  chunk: number;
  source: string;
  /** Part of the chunk still to come. */
  left: number;
  rate: number;
  links: number[];
};

type Result = {
  time: number;
  originCopies: number;
  /** Copies that came into the data centre that took in the most. */
  mostCrossings: number;
  plans: number;
  planMicroseconds: number;
};

/**
 * Drives the planner over its tables with a fluid model of links: every
 * transfer gets its equal part of each link that it crosses.
 */
export class FluidSpread {
  readonly dataCentres: string[];
  readonly dataCentreOf = new Map<string, string>();
  readonly tables = new Map<string, SpreadTable>();
  /** Hosts that send nothing more, without closing. */
  readonly stalled = new Set<string>();
  /** Data centres that are cut off from the others and from the origin. */
  readonly cutOff = new Set<string>();
  originAway = false;
  #options: Options;
  #policies = new Map<string, SpreadPolicy>();
  #flows: Flow[] = [];
  #originChunks = 0;
  #crossed = new Map<string, number>();
  #plans = 0;
  #planNanoseconds = 0n;
  #dead = new Set<string>();
  #linkNumbers = new Map<string, number>();
  #capacities: number[] = [];
  #counts: number[] = [];

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
    this.#dead.delete(host);
    for (const table of this.tables.values()) this.#introduce(table, host);
  }

  /** A host that dies loses all it held. */
  removeHost(host: string): void {
    this.#dead.add(host);
    for (const table of this.tables.values()) table.removeHost(host);
    this.#flows = this.#flows.filter((flow) =>
      flow.host !== host && flow.source !== host
    );
  }

  /** The data centre's coordinator is replaced by an empty one. */
  loseCoordinator(dataCentre: string): void {
    const old = this.tables.get(dataCentre)!;
    const table = new SpreadTable({
      version: old.version,
      totalChunks: old.totalChunks,
      chunkBytes: 1,
      dataCentre,
    });
    this.tables.set(dataCentre, table);
    for (const row of old.hosts) table.setHost({ ...row });
    this.#flows = this.#flows.filter((flow) => flow.table !== old);
  }

  get originCopies(): number {
    return this.#originChunks / this.#options.chunks;
  }

  /** Mean part of the model that hosts hold. */
  get progress(): number {
    let held = 0;
    for (const [host, dataCentre] of this.dataCentreOf) {
      held += this.tables.get(dataCentre)!.host(host)?.held.count ?? 0;
    }
    return held / (this.dataCentreOf.size * this.#options.chunks);
  }

  /** Runs until every living host holds all, or `limit` has passed. */
  run(limit: number): Result {
    const chunkTime = 1 / this.#options.chunks / this.#options.hostLink;
    const step = chunkTime / STEPS_PER_CHUNK;
    let time = 0;
    while (time < limit && !this.#isDone()) {
      this.#plan(time);
      this.#setRates();
      this.#flow(step, time);
      time += step;
      this.#options.onStep?.(this, time);
    }
    const crossings = [...this.#crossed.values()];
    return {
      time: this.#isDone() ? time : Infinity,
      originCopies: this.originCopies,
      mostCrossings: Math.max(0, ...crossings) / this.#options.chunks,
      plans: this.#plans,
      planMicroseconds: Number(this.#planNanoseconds / 1_000n) /
        Math.max(1, this.#plans),
    };
  }

  #introduce(table: SpreadTable, host: string): void {
    table.setHost({
      host,
      dataCentre: this.dataCentreOf.get(host)!,
      address: host,
      held: new ChunkSet(this.#options.chunks),
      linkBytesPerSecond: this.#options.hostLink,
      followsPlans: true,
    });
  }

  #plan(time: number): void {
    for (const [dataCentre, table] of this.tables) {
      const before = process.hrtime.bigint();
      const assignments = this.#policies.get(dataCentre)!.plan(table, time);
      this.#planNanoseconds += process.hrtime.bigint() - before;
      this.#plans += assignments.length;
      for (const assignment of assignments) {
        const links = this.#links(assignment.host, assignment.source);
        this.#flows.push({ table, ...assignment, left: 1, rate: 0, links });
      }
    }
  }

  #setRates(): void {
    this.#counts.fill(0);
    for (const { links } of this.#flows) {
      for (const link of links) this.#counts[link]! += 1;
    }
    for (const flow of this.#flows) {
      let rate = this.#isBlocked(flow) ? 0 : Infinity;
      for (const link of flow.links) {
        rate = Math.min(rate, this.#capacities[link]! / this.#counts[link]!);
      }
      flow.rate = rate * this.#options.chunks;
    }
  }

  /** Numbers of the links that a transfer crosses. */
  #links(host: string, source: string): number[] {
    const to = this.dataCentreOf.get(host)!;
    if (source === ORIGIN) {
      return [this.#link("origin"), this.#link(`down ${host}`)];
    }
    const from = this.dataCentreOf.get(source)!;
    const links = [this.#link(`up ${source}`), this.#link(`down ${host}`)];
    if (from === to) return links;
    return [...links, this.#link(`out ${from}`), this.#link(`in ${to}`)];
  }

  #link(name: string): number {
    let link = this.#linkNumbers.get(name);
    if (link === undefined) {
      link = this.#capacities.length;
      this.#linkNumbers.set(name, link);
      this.#capacities.push(this.#capacity(name));
      this.#counts.push(0);
    }
    return link;
  }

  #capacity(name: string): number {
    if (name === "origin") return this.#options.originLink;
    const region = name.startsWith("out ") || name.startsWith("in ");
    return region ? this.#options.regionLink : this.#options.hostLink;
  }

  #isBlocked(flow: Flow): boolean {
    if (this.stalled.has(flow.source)) return true;
    const to = this.dataCentreOf.get(flow.host)!;
    if (flow.source === ORIGIN) return this.originAway || this.cutOff.has(to);
    const from = this.dataCentreOf.get(flow.source)!;
    return from !== to && (this.cutOff.has(from) || this.cutOff.has(to));
  }

  #flow(step: number, time: number): void {
    const going: Flow[] = [];
    for (const flow of this.#flows) {
      if (flow.table.transfersOf(flow.host).get(flow.chunk) === undefined) {
        continue;
      }
      flow.left -= flow.rate * step;
      if (flow.left > 1e-9) going.push(flow);
      else this.#arrive(flow, time);
    }
    this.#flows = going;
  }

  #arrive(flow: Flow, time: number): void {
    const to = this.dataCentreOf.get(flow.host)!;
    if (flow.source === ORIGIN) this.#originChunks += 1;
    else if (this.dataCentreOf.get(flow.source) !== to) {
      this.#crossed.set(to, (this.#crossed.get(to) ?? 0) + 1);
    }
    for (const [dataCentre, table] of this.tables) {
      const cut = dataCentre !== to &&
        (this.cutOff.has(dataCentre) || this.cutOff.has(to));
      if (!cut) table.addChunk(flow.host, flow.chunk, time);
    }
  }

  /** Transfers that moved nothing; agents give such up by a timeout. */
  failBlocked(avoidUntil: number): void {
    for (const flow of this.#flows) {
      if (!this.#isBlocked(flow)) continue;
      flow.table.failTransfer(flow.host, flow.chunk, {
        now: avoidUntil,
        until: avoidUntil,
      });
    }
  }

  #isDone(): boolean {
    for (const [host, dataCentre] of this.dataCentreOf) {
      if (this.#dead.has(host)) continue;
      const row = this.tables.get(dataCentre)!.host(host);
      if (row !== undefined && !row.held.isComplete) return false;
    }
    return true;
  }
}
