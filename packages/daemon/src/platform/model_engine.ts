import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { EngineReport } from "./engine_report.ts";

type LoadAnswer = "begun" | "in-effect" | "refused";

/** The engine on this host, which loads what lies staged beside it. */
export interface ModelEngine {
  report(): Promise<Result<EngineReport, string>>;
  /** Numbers of the chunks that lie there, of whichever version. */
  stagedChunks(model: string): Promise<Result<number[], string>>;
  readStaged(model: string, chunk: number): Promise<Result<Buffer, string>>;
  writeStaged(
    model: string,
    chunk: number,
    bytes: Buffer,
  ): Promise<Result<void, string>>;
  /** Takes what lies staged at this moment, behind what is running. */
  load(
    order: { model: string; version: number; sequence: number },
  ): Promise<Result<LoadAnswer, string>>;
}
