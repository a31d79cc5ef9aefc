import type { ChunkAssignment } from "./chunk_assignment.ts";
import { rendezvousOwner } from "./rendezvous_owner.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";
import type { SpreadPolicy } from "./spread_policy.ts";
import type { SpreadTable } from "./spread_table.ts";
import type { SpreadWeighing } from "./spread_weighing.ts";

const LOOKED_AT = 24;
const ORIGIN = "";

type Options = {
  weighing: SpreadWeighing;
  random: () => number;
  /** Chunks that one host fetches at once. */
  downloadsPerHost: number;
  /** Chunks that one host gives at once. */
  uploadsPerHost: number;
  /** Chunks drawn at once from the origin by this data centre. */
  originTransfers: number;
  /** Chunks drawn at once from each other data centre. */
  regionTransfers: number;
};

/**
 * Rarest first within the data centre. A chunk that no host here holds or is
 * fetching comes in once, from the origin or over a region link; the rest is
 * swapped between hosts, each source giving a few at a time.
 */
export class RarestFirstPolicy implements SpreadPolicy {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  plan(table: SpreadTable, now: number): ChunkAssignment[] {
    const assignments: ChunkAssignment[] = [];
    const hosts = this.#neediestFirst(table);
    let progress = true;
    while (progress) {
      progress = false;
      for (const host of hosts) {
        const assignment = this.#next(table, host, now);
        if (assignment === undefined) continue;
        table.startTransfer({ ...assignment, startedAt: now });
        assignments.push(assignment);
        progress = true;
      }
    }
    return assignments;
  }

  #neediestFirst(table: SpreadTable): SpreadHostRow[] {
    const needy = table.hosts.filter((row) =>
      row.dataCentre === table.dataCentre && row.followsPlans &&
      !row.held.isComplete && this.#hasRoom(table, row)
    );
    return needy
      .map((row) => ({ row, order: row.held.count + this.#options.random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ row }) => row);
  }

  #hasRoom(table: SpreadTable, row: SpreadHostRow): boolean {
    return table.transfersOf(row.host).size < this.#options.downloadsPerHost;
  }

  #next(
    table: SpreadTable,
    row: SpreadHostRow,
    now: number,
  ): ChunkAssignment | undefined {
    if (!this.#hasRoom(table, row)) return undefined;
    const wanted = this.#wanted(table, row);
    for (const chunk of wanted) {
      const source = this.#source(table, { host: row.host, chunk, now });
      if (source !== undefined) return { host: row.host, chunk, source };
    }
    return undefined;
  }

  /** Chunks that the host lacks, rarest first, from a random sample. */
  #wanted(table: SpreadTable, row: SpreadHostRow): number[] {
    const { random } = this.#options;
    const fetching = table.transfersOf(row.host);
    const lacking = row.held.missing().filter((chunk) => !fetching.has(chunk));
    const start = Math.floor(random() * lacking.length);
    const sample = lacking.length <= LOOKED_AT
      ? lacking
      : [...lacking.slice(start), ...lacking.slice(0, start)].slice(
        0,
        LOOKED_AT,
      );
    return sample
      .map((chunk) => ({
        chunk,
        copies: table.holdersOf(chunk).size + table.pendingOf(chunk) + random(),
      }))
      .sort((left, right) => left.copies - right.copies)
      .map(({ chunk }) => chunk);
  }

  #source(
    table: SpreadTable,
    want: { host: string; chunk: number; now: number },
  ): string | undefined {
    const near = this.#leastBusy(table, table.holdersOf(want.chunk), want);
    if (near !== undefined) return near;
    const inside = table.holdersOf(want.chunk).size > 0;
    if (inside || table.pendingOf(want.chunk) > 0) return undefined;
    return this.#outsideSource(table, want);
  }

  #leastBusy(
    table: SpreadTable,
    holders: Set<string>,
    want: { host: string; now: number },
  ): string | undefined {
    let best: string | undefined;
    let fewest = this.#options.uploadsPerHost;
    for (const holder of holders) {
      const uploads = table.uploadsOf(holder);
      if (uploads >= fewest) continue;
      if (table.isAvoided(want.host, holder, want.now)) continue;
      [best, fewest] = [holder, uploads];
    }
    return best;
  }

  #outsideSource(
    table: SpreadTable,
    want: { host: string; chunk: number; now: number },
  ): string | undefined {
    const far = this.#farSource(table, want);
    if (far !== undefined) return far;
    if (!this.#mayDrawFromOrigin(table, want.chunk)) return undefined;
    if (table.isAvoided(want.host, ORIGIN, want.now)) return undefined;
    const drawn = table.uploadsOf(ORIGIN);
    return drawn < this.#options.originTransfers ? ORIGIN : undefined;
  }

  #farSource(
    table: SpreadTable,
    want: { host: string; chunk: number; now: number },
  ): string | undefined {
    const crossing = table.allFarTransfers();
    for (const holder of table.farHoldersOf(want.chunk)) {
      const from = table.host(holder)?.dataCentre ?? "";
      if ((crossing.get(from) ?? 0) >= this.#options.regionTransfers) continue;
      if (table.isAvoided(want.host, holder, want.now)) continue;
      if (table.uploadsOf(holder) >= this.#options.uploadsPerHost) continue;
      return holder;
    }
    return undefined;
  }

  /**
   * Weighing origin bytes, each chunk has one data centre that draws it, the
   * same by every coordinator's count, and the others wait for it. One that
   * is cut off is no longer among the data centres, so its chunks pass on.
   */
  #mayDrawFromOrigin(table: SpreadTable, chunk: number): boolean {
    if (this.#options.weighing === "time") return true;
    const owner = rendezvousOwner(
      `${table.version}/${chunk}`,
      table.dataCentres(),
    );
    return owner === table.dataCentre;
  }
}
