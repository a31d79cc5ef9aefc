import type { EngineReport } from "../platform/engine_report.ts";

/** The version of `model` that the engine reports to serve; 0 for none. */
export function findServedVersionNumber(
  { models }: EngineReport,
  model: string | undefined,
): number {
  return models.find(({ name }) => name === model)?.version ?? 0;
}
