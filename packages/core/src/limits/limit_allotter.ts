import type { ContractRow } from "../contracts/contract_row.ts";
import type { ControlState } from "../state/control_state.ts";
import { deriveLimits } from "./derive_limits.ts";
import { divideByDemand } from "./divide_by_demand.ts";
import type { HostAllotmentRow } from "./host_allotment_row.ts";
import { hostCeiling } from "./host_ceiling.ts";

/**
 * How long a host may use an allotted rate even above its floor, counted from
 * when it sent its report.
 */
const GRANT_MILLISECONDS = 1_500;
/**
 * How long a host admits no more than the allotted rate, counted from when it
 * received the allotment.
 */
const CAP_MILLISECONDS = 4_000;
/**
 * How long after its latest report a host counts as live, and changes wait for
 * it.
 */
const LEASE_MILLISECONDS = 2_000;
/**
 * Fraction of a contract's rate reserved for idle hosts, so that a first call
 * is admitted on each of them.
 */
const IDLE_SHARE = 0.04;
/** Hosts are given this multiple of their demand, where there is enough. */
const HEADROOM_FACTOR = 1.2;
const SEQUENCES_PER_TERM = 1_000_000_000;

type HostRow = {
  heardAt: number;
  appliedIndex: number;
  sequence: number;
  demands: Map<string, number>;
  /** Floors that the host may be using, requests a second, by workspace. */
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
 * Divides the rate of every contract among the entry hosts; used by the leader
 * of the control hosts. At any time, all entry hosts together can admit no more
 * than the contract, whichever messages are lost or delayed. An allotment is a
 * grant, up to whose end the host may use the rate, and a cap, up to whose
 * later end the host admits no more than the rate:
 * - a host counts a grant from when it sent the report that the grant answers,
 *   so the grant expires on the host no later than on the leader;
 * - a host counts a cap from when it received it, so the cap expires on the
 *   host no earlier than on the leader;
 * - no rate is raised before the host that it is taken from has confirmed its
 *   lower rate.
 */
export class LimitAllotter {
  #hosts = new Map<string, HostRow>();
  #firstGrantAt: number;
  #firstSequence: number;

  /**
   * A new leader grants nothing until all grants of its predecessor must have
   * expired. Sequences start at a value derived from the term, so that a
   * delayed confirmation or allotment of an older term is never mistaken for
   * one of this term.
   */
  constructor(now: number, term: number) {
    this.#firstGrantAt = now + GRANT_MILLISECONDS;
    this.#firstSequence = term * SEQUENCES_PER_TERM;
  }

  /** Processes a host's report and returns the host's allotments. */
  recordReport(
    state: ControlState,
    report: HostReport,
    now: number,
  ): HostAllotment {
    const host = this.#hostRow(report.host);
    host.heardAt = now;
    host.appliedIndex = report.appliedIndex;
    confirmAllotments(host.allotments, report.allotmentSequence);
    host.demands = new Map(
      report.demands.map(({ workspace, rate }) => [workspace, rate]),
    );
    host.sequence += 1;
    const rates = now < this.#firstGrantAt
      ? []
      : this.#allot(state, report.host, now);
    return {
      sequence: host.sequence,
      grantMilliseconds: GRANT_MILLISECONDS,
      capMilliseconds: CAP_MILLISECONDS,
      rates,
    };
  }

  /** Hosts with an unexpired lease, and the log index that each has applied. */
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
      this.#updateFloor(state, host, contract);
      if (this.#hasDemand(contract.workspace, now)) {
        const rate = this.#rateFor(state, contract, { host, now });
        this.#recordAllotment(host, contract.workspace, { rate, now });
        rates.push({ workspace: contract.workspace, rate });
      }
    }
    return rates;
  }

  #hasDemand(workspace: string, now: number): boolean {
    return [...this.liveHosts(now).keys()].some((name) =>
      (this.#hosts.get(name)!.demands.get(workspace) ?? 0) > 0
    );
  }

  /** The host's target rate, as far as the other hosts' ceilings allow it. */
  #rateFor(
    state: ControlState,
    contract: ContractRow,
    options: { host: string; now: number },
  ): number {
    const { host, now } = options;
    const { workspace } = contract;
    const until = now + GRANT_MILLISECONDS;
    const { totalRate } = deriveLimits(contract, state.entryHosts.size);
    let otherCeilings = 0;
    let disconnectedCeilings = 0;
    for (const name of state.entryHosts.keys()) {
      if (name === host) continue;
      const ceiling = this.#ceiling(state, {
        host: name,
        workspace,
        now,
        until,
      });
      otherCeilings += ceiling;
      if (!this.liveHosts(now).has(name)) disconnectedCeilings += ceiling;
    }
    const target = this.#targetRate(
      totalRate - disconnectedCeilings,
      workspace,
      { host, now },
    );
    return Math.max(0, Math.min(target, totalRate - otherCeilings));
  }

  #targetRate(
    total: number,
    workspace: string,
    options: { host: string; now: number },
  ): number {
    const live = [...this.liveHosts(options.now).keys()];
    const idle = Math.max(0, total) * IDLE_SHARE / live.length;
    const demands = live.map((host) => ({
      host,
      rate: Math.max(
        idle,
        (this.#hosts.get(host)!.demands.get(workspace) ?? 0) * HEADROOM_FACTOR,
      ),
    }));
    // Both branches give `total`, so a rate that no host demands is divided
    // equally among the live hosts.
    const totalDemand = demands.reduce((sum, demand) => sum + demand.rate, 0);
    const shares = divideByDemand(
      Math.max(0, totalDemand < total ? total : Math.min(total, totalDemand)),
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

  /**
   * Records the current floor for a host that has applied every change of the
   * limits. Until then, an earlier floor may still be in use there.
   */
  #updateFloor(state: ControlState, host: string, contract: ContractRow): void {
    const row = this.#hosts.get(host)!;
    if (row.appliedIndex < state.limitsChangedAt) return;
    const { floorRate } = deriveLimits(contract, state.entryHosts.size);
    row.floors.set(contract.workspace, floorRate);
  }

  #recordAllotment(
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
 * Confirms the allotments of the one answer that a host reports as applied, and
 * drops older allotments. An earlier answer may have been lost, so an allotment
 * is confirmed only by its own sequence.
 */
function confirmAllotments(
  allotments: Map<string, HostAllotmentRow[]>,
  sequence: number,
): void {
  for (const [workspace, rows] of allotments) {
    const index = rows.findIndex((row) => row.sequence === sequence);
    if (index < 0) continue;
    rows[index]!.confirmed = true;
    allotments.set(workspace, rows.slice(index));
  }
}
