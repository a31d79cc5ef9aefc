import type { EngineReport } from "../platform/engine_report.ts";

/** The version of a model that an engine says it serves; 0 for none. */
export function servingNumber(
  { models }: EngineReport,
  model: string | undefined,
): number {
  return models.find(({ name }) => name === model)?.version ?? 0;
}
