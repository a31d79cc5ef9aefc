import type { ContractRow } from "../contracts/contract_row.ts";
import type { ControlState } from "../state/control_state.ts";
import { deriveLimits } from "./derive_limits.ts";
import { divideByDemand } from "./divide_by_demand.ts";
import type { HostAllotmentRow } from "./host_allotment_row.ts";
import { hostCeiling } from "./host_ceiling.ts";

const GRANT_MILLISECONDS = 1_500;
const CAP_MILLISECONDS = 4_000;
const LEASE_MILLISECONDS = 2_000;
/** Part of a contract that idle hosts keep, so that a first call passes. */
const IDLE_SHARE = 0.04;
const HEADROOM = 1.2;
const SEQUENCES_PER_TERM = 1_000_000_000;

type HostRow = {
  heardAt: number;
  appliedIndex: number;
  sequence: number;
  demands: Map<string, number>;
  /** Floors the host may be using, by workspace. */
  floors: Map<string, number>;
  allotments: Map<string, HostAllotmentRow[]>;
};

type HostReport = {
  host: string;
  appliedIndex: number;
  allotmentSequence: number;
  demands: { workspace: string; rate: number }[];
};

type HostAllotment = {
  sequence: number;
  grantMilliseconds: number;
  capMilliseconds: number;
  rates: { workspace: string; rate: number }[];
};

/**
 * The leader's division of every contract over the entry hosts. At each
 * moment the most that all hosts together can let through is at most the
 * contract, whatever is lost or late on the way:
 * - a host counts a grant from when it sent the report that it answers, so
 *   the grant ends there no later than here;
 * - a host counts a cap from when it got it, so the cap ends there no
 *   earlier than here;
 * - nothing is raised before what it is taken from was confirmed lowered.
 */
export class LimitAllotter {
  #hosts = new Map<string, HostRow>();
  #quietUntil: number;
  #firstSequence: number;

  /**
   * A new leader waits out what its predecessor may have granted. Sequences
   * begin with the term, so that a confirmation or an allotment of an older
   * term, late on its way, is never taken for one of this term.
   */
  constructor(now: number, term: number) {
    this.#quietUntil = now + GRANT_MILLISECONDS;
    this.#firstSequence = term * SEQUENCES_PER_TERM;
  }

  /** Takes in a host's report and answers with its allotments. */
  takeReport(
    state: ControlState,
    report: HostReport,
    now: number,
  ): HostAllotment {
    const host = this.#hostRow(report.host);
    host.heardAt = now;
    host.appliedIndex = report.appliedIndex;
    confirm(host.allotments, report.allotmentSequence);
    host.demands = new Map(
      report.demands.map(({ workspace, rate }) => [workspace, rate]),
    );
    host.sequence += 1;
    const rates = now < this.#quietUntil
      ? []
      : this.#allot(state, report.host, now);
    return {
      sequence: host.sequence,
      grantMilliseconds: GRANT_MILLISECONDS,
      capMilliseconds: CAP_MILLISECONDS,
      rates,
    };
  }

  /** Hosts with a live lease and the log index that each has applied. */
  liveHosts(now: number): Map<string, number> {
    return new Map(
      [...this.#hosts]
        .filter(([, row]) => now - row.heardAt < LEASE_MILLISECONDS)
        .map(([name, row]) => [name, row.appliedIndex]),
    );
  }

  #allot(state: ControlState, host: string, now: number) {
    const rates: { workspace: string; rate: number }[] = [];
    for (const contract of state.contracts.values()) {
      this.#learnFloor(state, host, contract);
      if (this.#isWanted(contract.workspace, now)) {
        const rate = this.#rateFor(state, contract, { host, now });
        this.#remember(host, contract.workspace, { rate, now });
        rates.push({ workspace: contract.workspace, rate });
      }
    }
    return rates;
  }

  #isWanted(workspace: string, now: number): boolean {
    return [...this.liveHosts(now).keys()].some((name) =>
      (this.#hosts.get(name)!.demands.get(workspace) ?? 0) > 0
    );
  }

  #rateFor(
    state: ControlState,
    contract: ContractRow,
    options: { host: string; now: number },
  ): number {
    const { host, now } = options;
    const { workspace } = contract;
    const until = now + GRANT_MILLISECONDS;
    const { totalRate } = deriveLimits(contract, state.entryHosts.size);
    let others = 0;
    let away = 0;
    for (const name of state.entryHosts.keys()) {
      if (name === host) continue;
      const ceiling = this.#ceiling(state, {
        host: name,
        workspace,
        now,
        until,
      });
      others += ceiling;
      if (!this.liveHosts(now).has(name)) away += ceiling;
    }
    const target = this.#target(totalRate - away, workspace, { host, now });
    return Math.max(0, Math.min(target, totalRate - others));
  }

  #target(
    total: number,
    workspace: string,
    options: { host: string; now: number },
  ): number {
    const live = [...this.liveHosts(options.now).keys()];
    const idle = Math.max(0, total) * IDLE_SHARE / live.length;
    const demands = live.map((host) => ({
      host,
      wanted: Math.max(
        idle,
        (this.#hosts.get(host)!.demands.get(workspace) ?? 0) * HEADROOM,
      ),
    }));
    // What nobody asked for stays out, or each report would move it around.
    const asked = demands.reduce((sum, demand) => sum + demand.wanted, 0);
    const shares = divideByDemand(
      Math.max(0, asked < total ? total : Math.min(total, asked)),
      demands,
    );
    return shares.get(options.host) ?? 0;
  }

  #ceiling(
    state: ControlState,
    options: { host: string; workspace: string; now: number; until: number },
  ): number {
    const { host, workspace, now, until } = options;
    const row = this.#hosts.get(host);
    const floor = this.#floor(state, host, workspace);
    const allotments = row?.allotments.get(workspace) ?? [];
    return hostCeiling({ floor, allotments, now, until });
  }

  #floor(state: ControlState, host: string, workspace: string): number {
    const contract = state.contracts.get(workspace);
    const current = deriveLimits(contract, state.entryHosts.size).floorRate;
    const known = this.#hosts.get(host)?.floors.get(workspace);
    if (known !== undefined) return Math.max(known, current);
    return Math.max(current, contract?.highestFloor ?? 0);
  }

  /** Once a host has applied every change, its floor is the current one. */
  #learnFloor(state: ControlState, host: string, contract: ContractRow): void {
    const row = this.#hosts.get(host)!;
    if (row.appliedIndex < state.limitsChangedAt) return;
    const { floorRate } = deriveLimits(contract, state.entryHosts.size);
    row.floors.set(contract.workspace, floorRate);
  }

  #remember(
    host: string,
    workspace: string,
    options: { rate: number; now: number },
  ): void {
    const row = this.#hosts.get(host)!;
    const rows = row.allotments.get(workspace) ?? [];
    const inUse = rows.filter(({ confirmed, capUntil }) =>
      confirmed || capUntil > options.now
    );
    inUse.push({
      sequence: row.sequence,
      rate: options.rate,
      grantUntil: options.now + GRANT_MILLISECONDS,
      capUntil: options.now + CAP_MILLISECONDS,
      confirmed: false,
    });
    row.allotments.set(workspace, inUse);
  }

  #hostRow(name: string): HostRow {
    let row = this.#hosts.get(name);
    if (row === undefined) {
      row = {
        heardAt: -Infinity,
        appliedIndex: 0,
        sequence: this.#firstSequence,
        demands: new Map(),
        floors: new Map(),
        allotments: new Map(),
      };
      this.#hosts.set(name, row);
    }
    return row;
  }
}

/**
 * Takes a host's word that it holds the allotments of one answer. An earlier
 * answer may have been lost, so it counts as held only by its own number.
 */
function confirm(
  allotments: Map<string, HostAllotmentRow[]>,
  sequence: number,
): void {
  for (const [workspace, rows] of allotments) {
    const at = rows.findIndex((row) => row.sequence === sequence);
    if (at < 0) continue;
    rows[at]!.confirmed = true;
    allotments.set(workspace, rows.slice(at));
  }
}
