import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { sleep } from "../transport/sleep.ts";
import type { AgentState } from "./agent_state.ts";
import type { CallRunner } from "./call_runner.ts";
import type { EngineClient } from "./engine_client.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";

const STEP_INTERVAL_MILLISECONDS = 100;
const POLL_INTERVAL_MILLISECONDS = 25;
/** The engine's state is checked in one of so many steps. */
const STATE_CHECK_STEPS = 5;
const PERMIT_REQUEST_INTERVAL_MILLISECONDS = 500;
const PERMIT_VALIDITY_MILLISECONDS = 30_000;
const LOAD_TIMEOUT_MILLISECONDS = 60_000;
const DRAIN_TIMEOUT_MILLISECONDS = 20_000;
const RETRY_DELAY_MILLISECONDS = 500;

type Permit = {
  version: string;
  fencingToken: number;
  /** Of the agent process that asked for it. */
  incarnation: string;
  /** When the permit was granted, Unix milliseconds. */
  at: number;
};

type Options = {
  state: AgentState;
  cache: WeightsCache;
  engine: EngineClient;
  runner: CallRunner;
  log: EventLog;
  /** Id of this agent process. */
  incarnation: string;
  /** This agent's own port, for the engine to read weights from. */
  weightsAddress: string;
};

/**
 * Has the engine load the target version, with one load order at a time. Calls
 * are stopped before an order, and accepted again only once the engine has
 * reported the ordered version as loaded and has answered a probe with it.
 * After a failed order, the version that the engine then has is probed and
 * served in the same way.
 */
export class EngineLoader {
  /** Requests for a permit to stop serving; repeated until one is granted. */
  readonly permitRequested$ = new Subject<
    { version: string; wasServing: boolean }
  >();
  /** Emits the result of each load. */
  readonly loadEnded$ = new Subject<
    { version: string; fencingToken: number; loaded: boolean }
  >();
  #options: Options;
  #target = "";
  #permit: Permit | undefined;
  #highestFencingToken = 0;
  /** The one that the load in progress was ordered under. */
  #permitInUse: Permit | undefined;
  #permitRequestedAt = 0;
  #steps = 0;
  #isStopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#isStopped = true;
  }

  setTarget(version: string): void {
    this.#target = version;
    this.#returnUnusedPermit();
  }

  /**
   * Each entry host tells the permit that the log has, so the same one arrives
   * several times, and from a host that lags after it was given back.
   */
  receivePermit(permit: Permit): void {
    if (permit.fencingToken <= this.#highestFencingToken) return;
    this.#highestFencingToken = permit.fencingToken;
    this.#permit = permit;
    this.#logPermit("received", permit);
    this.#returnUnusedPermit();
  }

  /**
   * Gives back a permit that this agent has no use for: another version is the
   * target, the engine serves it already, or a former process asked for it.
   */
  #returnUnusedPermit(): void {
    const permit = this.#permit;
    if (permit === undefined || permit === this.#permitInUse) return;
    const isUseful = permit.incarnation === this.#options.incarnation &&
      permit.version === this.#target &&
      permit.version !== this.#options.state.servingVersion;
    if (isUseful) return;
    this.#permit = undefined;
    this.#endPermit(permit, false);
  }

  #logPermit(change: string, { version, fencingToken }: Permit): void {
    const fields = { change, version, fencing_token: fencingToken };
    this.#options.log.info("load-permit", fields);
  }

  #endPermit(permit: Permit, loaded: boolean): void {
    this.#logPermit("returned", permit);
    const { version, fencingToken } = permit;
    this.loadEnded$.next({ version, fencingToken, loaded });
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#step();
      await sleep(STEP_INTERVAL_MILLISECONDS);
    }
  }

  async #step(): Promise<void> {
    const { state, cache } = this.#options;
    const backend = state.backend;
    if (backend === undefined || !backend.uses_weights) return;
    // No version that the engine has loaded is adopted before an entry host has
    // sent a target.
    if (this.#target === "" || state.isStopping) return;
    if (state.pushback.closedRefusal !== undefined) return;
    this.#steps += 1;
    if (this.#steps % STATE_CHECK_STEPS === 1) await this.#checkEngineState();
    if (state.servingVersion === this.#target) return;
    if (!cache.isComplete(this.#target)) return;
    const permit = this.#findValidPermit();
    if (permit === undefined) this.#requestPermit();
    else await this.#load(permit);
  }

  /**
   * Compares the version that the engine reports with the one that it should be
   * serving, and stops calls when they differ: an engine that ignores fencing
   * tokens may obey a delayed load order, and a restarted engine has nothing
   * loaded. When no version is served, adopts the one that the engine reports
   * if a probe confirms it.
   */
  async #checkEngineState(): Promise<void> {
    const { state, engine, log } = this.#options;
    const read = await engine.readState();
    if (read.isErr) return;
    const { version, loading } = read.value;
    const loadedVersion = loading ? "" : version;
    if (loadedVersion === state.servingVersion) return;
    if (state.servingVersion !== "") {
      log.warn("engine-moved", {
        expected: state.servingVersion,
        found: loadedVersion,
      });
      state.setServing("");
    } else if (
      loadedVersion !== "" && (await this.#answersWith(loadedVersion))
    ) {
      log.info("engine-adopted", { version: loadedVersion });
      state.setServing(loadedVersion);
    }
  }

  #findValidPermit(): Permit | undefined {
    const permit = this.#permit;
    if (permit === undefined || permit.version !== this.#target) {
      return undefined;
    }
    const age = Date.now() - permit.at;
    return age < PERMIT_VALIDITY_MILLISECONDS ? permit : undefined;
  }

  #requestPermit(): void {
    if (
      Date.now() - this.#permitRequestedAt <
        PERMIT_REQUEST_INTERVAL_MILLISECONDS
    ) return;
    this.#permitRequestedAt = Date.now();
    const wasServing = this.#options.state.servingVersion !== "";
    this.permitRequested$.next({ version: this.#target, wasServing });
  }

  async #load(permit: Permit): Promise<void> {
    const { state, log } = this.#options;
    const startedAt = Date.now();
    this.#permitInUse = permit;
    state.setLoading(true);
    await this.#waitUntilIdle();
    const loaded = await this.#orderAndVerify(permit);
    this.#permitInUse = undefined;
    if (this.#permit === permit) this.#permit = undefined;
    if (loaded) {
      state.setServing(permit.version);
      log.info("weights-live", {
        version: permit.version,
        fencing_token: permit.fencingToken,
        milliseconds: Date.now() - startedAt,
      });
    } else {
      state.setServing("");
      await this.#checkEngineState();
    }
    state.setLoading(false);
    this.#endPermit(permit, loaded);
    this.#returnUnusedPermit();
    if (!loaded) await sleep(RETRY_DELAY_MILLISECONDS);
  }

  /**
   * Lets running and queued calls end on the weights that they began with, for
   * a limited time.
   */
  async #waitUntilIdle(): Promise<void> {
    const deadline = Date.now() + DRAIN_TIMEOUT_MILLISECONDS;
    while (!this.#options.runner.isIdle && Date.now() < deadline) {
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  async #orderAndVerify(permit: Permit): Promise<boolean> {
    const { engine, log, weightsAddress } = this.#options;
    const { version, fencingToken } = permit;
    const source = `http://${weightsAddress}/weights/${
      encodeURIComponent(version)
    }`;
    this.#options.state.recordLoadOrder();
    const ordered = await engine.load({ version, source, fencingToken });
    if (ordered.isErr) {
      log.warn("load-failed", { version, reason: ordered.error });
    }
    // The state is read even when the order was refused or lost: the engine may
    // have obeyed it.
    const loaded = await this.#waitUntilLoadEnds();
    if (loaded === version && (await this.#answersWith(version))) return true;
    log.warn("load-failed", { version, reason: `engine holds "${loaded}"` });
    return false;
  }

  /**
   * Waits until the engine reports that no load is in progress. Returns the
   * version that it has loaded; empty if it reports none in time.
   */
  async #waitUntilLoadEnds(): Promise<string> {
    const deadline = Date.now() + LOAD_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline && !this.#isStopped) {
      const read = await this.#options.engine.readState();
      if (read.isOk && !read.value.loading) return read.value.version;
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
    return "";
  }

  /** Whether a probe of the engine is answered with this version. */
  async #answersWith(version: string): Promise<boolean> {
    const probed = await this.#options.engine.probe();
    return probed.isOk && probed.value === version;
  }
}
