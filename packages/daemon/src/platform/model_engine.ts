import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { EngineReport } from "./engine_report.ts";

/**
 * `begun`: the engine accepted the order; `in-effect`: it reported success at
 * once; `refused`: any other answer.
 */
type LoadOutcome = "begun" | "in-effect" | "refused";

/** The model engine on this host, which loads weights from its staging area. */
export interface ModelEngine {
  fetchReport(): Promise<Result<EngineReport, string>>;
  /** Numbers of the staged chunks, of whatever version they are. */
  listStagedChunks(model: string): Promise<Result<number[], string>>;
  readStaged(model: string, chunk: number): Promise<Result<Buffer, string>>;
  writeStaged(
    model: string,
    chunk: number,
    bytes: Buffer,
  ): Promise<Result<void, string>>;
  /**
   * Orders the engine to load the weights that are staged at this moment. The
   * load is queued behind the requests that are running. `sequence` is that of
   * the engine's latest report.
   */
  load(
    order: { model: string; version: number; sequence: number },
  ): Promise<Result<LoadOutcome, string>>;
}
