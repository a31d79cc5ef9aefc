import { Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { pause } from "../transport/pause.ts";
import type { AgentState } from "./agent_state.ts";
import type { CallRunner } from "./call_runner.ts";
import type { EngineClient } from "./engine_client.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";

const STEP_MILLISECONDS = 100;
const SETTLE_POLL_MILLISECONDS = 25;
const READ_BACK_EVERY_STEPS = 5;
const PERMIT_ASK_MILLISECONDS = 500;
const PERMIT_VALID_MILLISECONDS = 30_000;
const LOAD_MILLISECONDS = 60_000;
const DRAIN_MILLISECONDS = 20_000;
const FAILED_PAUSE_MILLISECONDS = 500;

type Permit = { version: string; fencingToken: number; at: number };

type Options = {
  state: AgentState;
  cache: WeightsCache;
  engine: EngineClient;
  runner: CallRunner;
  log: EventLog;
  /** This agent's own port, for the engine to read weights from. */
  weightsAddress: string;
};

/**
 * Brings the engine to the target version, one order at a time: calls are
 * stopped first, and taken again only once the engine was read back and has
 * answered a probe with the version that was ordered.
 */
export class EngineLoader {
  /** Asks for leave to stop serving; repeated until it is given. */
  readonly permitWanted$ = new Subject<
    { version: string; wasServing: boolean }
  >();
  readonly settled$ = new Subject<
    { version: string; fencingToken: number; loaded: boolean }
  >();
  #options: Options;
  #target = "";
  #permit: Permit | undefined;
  #askedAt = 0;
  #steps = 0;
  #stopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  setTarget(version: string): void {
    this.#target = version;
  }

  takePermit(version: string, fencingToken: number): void {
    const older = fencingToken <= (this.#permit?.fencingToken ?? 0);
    if (!older) this.#permit = { version, fencingToken, at: Date.now() };
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#step();
      await pause(STEP_MILLISECONDS);
    }
  }

  async #step(): Promise<void> {
    const { state, cache } = this.#options;
    const backend = state.backend;
    // Nothing is taken over before control has said what is to be served.
    if (backend === undefined || !backend.uses_weights) return;
    if (this.#target === "" || state.isStopping) return;
    this.#steps += 1;
    if (this.#steps % READ_BACK_EVERY_STEPS === 1) await this.#readBack();
    if (state.servingVersion === this.#target) return;
    if (!cache.isComplete(this.#target)) return;
    const permit = this.#validPermit();
    if (permit === undefined) this.#askForPermit();
    else await this.#load(permit);
  }

  /**
   * An engine that ignores fencing tokens may obey an order that was late on
   * its way, and a restarted one holds nothing: what it serves is read again
   * and again, and calls are stopped when it is not what was settled.
   */
  async #readBack(): Promise<void> {
    const { state, engine, log } = this.#options;
    const read = await engine.state();
    if (read.isErr) return;
    const { version, loading } = read.value;
    const holds = loading ? "" : version;
    if (holds === state.servingVersion) return;
    if (state.servingVersion !== "") {
      log.warn("engine-moved", {
        expected: state.servingVersion,
        found: holds,
      });
      state.setServing("");
    } else if (holds !== "" && (await this.#answersWith(holds))) {
      log.info("engine-adopted", { version: holds });
      state.setServing(holds);
    }
  }

  #validPermit(): Permit | undefined {
    const permit = this.#permit;
    if (permit === undefined || permit.version !== this.#target) {
      return undefined;
    }
    const age = Date.now() - permit.at;
    return age < PERMIT_VALID_MILLISECONDS ? permit : undefined;
  }

  #askForPermit(): void {
    if (Date.now() - this.#askedAt < PERMIT_ASK_MILLISECONDS) return;
    this.#askedAt = Date.now();
    const wasServing = this.#options.state.servingVersion !== "";
    this.permitWanted$.next({ version: this.#target, wasServing });
  }

  async #load(permit: Permit): Promise<void> {
    const { state, log } = this.#options;
    const startedAt = Date.now();
    state.setLoading(true);
    await this.#untilIdle();
    const loaded = await this.#orderAndSettle(permit);
    this.#permit = undefined;
    if (loaded) {
      state.setServing(permit.version);
      log.info("weights-live", {
        version: permit.version,
        fencing_token: permit.fencingToken,
        milliseconds: Date.now() - startedAt,
      });
    } else {
      state.setServing("");
      await this.#readBack();
    }
    state.setLoading(false);
    this.settled$.next({ ...permit, loaded });
    if (!loaded) await pause(FAILED_PAUSE_MILLISECONDS);
  }

  /** Calls under way end on the weights that they began with. */
  async #untilIdle(): Promise<void> {
    const until = Date.now() + DRAIN_MILLISECONDS;
    while (!this.#options.runner.isIdle && Date.now() < until) {
      await pause(SETTLE_POLL_MILLISECONDS);
    }
  }

  async #orderAndSettle(permit: Permit): Promise<boolean> {
    const { engine, log, weightsAddress } = this.#options;
    const { version, fencingToken } = permit;
    const source = `http://${weightsAddress}/weights/${
      encodeURIComponent(version)
    }`;
    this.#options.state.markOrdered();
    const ordered = await engine.load({ version, source, fencingToken });
    if (ordered.isErr) {
      log.warn("load-failed", { version, reason: ordered.error });
    }
    // Even a refused or lost order is read back: it may have been obeyed.
    const settled = await this.#untilSettled();
    if (settled === version && (await this.#answersWith(version))) return true;
    log.warn("load-failed", { version, reason: `engine holds "${settled}"` });
    return false;
  }

  /** What the engine holds once no load is open; empty when it never says. */
  async #untilSettled(): Promise<string> {
    const until = Date.now() + LOAD_MILLISECONDS;
    while (Date.now() < until && !this.#stopped) {
      const read = await this.#options.engine.state();
      if (read.isOk && !read.value.loading) return read.value.version;
      await pause(SETTLE_POLL_MILLISECONDS);
    }
    return "";
  }

  async #answersWith(version: string): Promise<boolean> {
    const probed = await this.#options.engine.probe();
    return probed.isOk && probed.value === version;
  }
}
