import * as z from "zod";

const milliseconds = z.number().min(0);
const share = z.number().min(0).max(1);

const kindSchema = z.strictObject({
  name: z.string().min(1),
  /** Part of all calls. */
  share,
  prompt_tokens: z.number().positive(),
  answer_tokens: z.number().positive(),
  /** Standard deviation of the logarithm, of both. */
  spread: z.number().min(0),
  target_ms: milliseconds,
  patience_ms: milliseconds,
  worth: z.number().positive(),
  late_worth: z.number().min(0),
});

/** A modelled fleet: engines, the hosts that decide for them, and callers. */
export const fleetSettingsSchema = z.strictObject({
  hosts: z.number().int().positive(),
  data_centres: z.number().int().positive(),
  engines: z.number().int().positive(),
  engine: z.strictObject({
    slots: z.number().int().positive(),
    /** Calls that wait at an engine at most. */
    queue: z.number().int().min(0),
    step_ms: z.number().positive(),
    step_per_request_ms: milliseconds,
    steps_per_pass: z.number().int().positive(),
    read_tokens_per_ms: z.number().positive(),
    /** Prompt tokens read in one pass at most. */
    pass_tokens: z.number().positive(),
  }),
  /** Between two looks at an engine's load. */
  look_ms: z.number().positive(),
  /** From a look until hosts hear of it; loads are never told where absent. */
  told_after_ms: milliseconds.optional(),
  /** One way between a host and an engine, and more to another data centre. */
  way_ms: milliseconds,
  crossing_ms: milliseconds,
  /** Without a first event for so long a caller leaves. */
  silence_ms: milliseconds,
  kinds: z.array(kindSchema).min(1),
});
