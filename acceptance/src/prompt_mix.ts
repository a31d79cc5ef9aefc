/** A prompt's parts, without the last, by id; `random` draws from 0 to 1. */
type DrawParts = (random: () => number) => string[];

/**
 * Prompts of a day: those of harmless requests, and those with a part that
 * crashes engines.
 */
export type PromptMix = {
  name: string;
  /** Parts that crash engines; no prompt holds two of them. */
  crashingParts: string[];
  drawHarmless: DrawParts;
  /** One for each crashing part. */
  drawCrashing: DrawParts[];
  /** When the parts begin to crash engines, milliseconds from the day's start. */
  crashesFromMilliseconds?: number;
  /** Crashing requests come at the first gateway only, others at the rest. */
  separatesGateways?: boolean;
};
