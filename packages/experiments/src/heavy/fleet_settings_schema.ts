import * as z from "zod";

const milliseconds = z.number().min(0);
const share = z.number().min(0).max(1);

const kindSchema = z.strictObject({
  name: z.string().min(1),
  /** Share of all calls. */
  share,
  /** Mean numbers of tokens. */
  prompt_tokens: z.number().positive(),
  answer_tokens: z.number().positive(),
  /** Standard deviation of the logarithm of both token counts. */
  spread: z.number().min(0),
  /** That of the answer's alone; `spread` if absent. */
  answer_spread: z.number().min(0).optional(),
  /** Time to the first event within which a call is timely. */
  target_ms: milliseconds,
  /** Longest pause between events of a timely call; any if absent. */
  pause_ms: milliseconds.optional(),
  /** Time from the start of a call until its caller gives up. */
  patience_ms: milliseconds,
  /** Worth of a timely call and of a late one, in the same arbitrary unit. */
  worth: z.number().positive(),
  late_worth: z.number().min(0),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0).max(4).default(1),
});

/** Settings of a modelled fleet: engines, hosts that send to them, callers. */
export const fleetSettingsSchema = z.strictObject({
  hosts: z.number().int().positive(),
  data_centres: z.number().int().positive(),
  engines: z.number().int().positive(),
  engine: z.strictObject({
    slots: z.number().int().positive(),
    /** Maximum number of calls waiting at one engine. */
    queue: z.number().int().min(0),
    /** Time of one decoding step, and what each running request adds. */
    step_ms: z.number().positive(),
    step_per_request_ms: milliseconds,
    steps_per_pass: z.number().int().positive(),
    /** Prefill rate. */
    read_tokens_per_ms: z.number().positive(),
    /** Maximum number of prompt tokens prefilled in one pass. */
    pass_tokens: z.number().positive(),
    /** Makes each engine slow now and then; never if absent. */
    slow: z.strictObject({
      /** Share of the time. */
      share,
      /** Factor by which work then takes longer. */
      factor: z.number().min(1),
      /** Mean length of a slow period. */
      ms: milliseconds,
    }).optional(),
    /** Engines, from the first one on, that are slower all the time. */
    lasting: z.strictObject({
      engines: z.number().int().min(0),
      factor: z.number().min(1),
    }).optional(),
  }),
  /**
   * Age of the load and slowdown that an answer's head tells its host; heads
   * tell nothing if absent.
   */
  head_age_ms: milliseconds.optional(),
  /**
   * Callers' estimates of the length of answers. "rough" ones are right at the
   * median; "useless" ones have nothing to do with the length; "misleading" ones
   * are the smaller, the longer the answer is.
   */
  estimates: z.enum(["exact", "rough", "useless", "misleading"]).default(
    "rough",
  ),
  /** Load of the first data centre relative to that of each other one. */
  first_centre_load: z.number().positive().default(1),
  /** Interval between two samples of an engine's load. */
  look_ms: z.number().positive(),
  /**
   * Delay from a sample until all hosts have it. If absent, hosts never receive
   * load reports.
   */
  told_after_ms: milliseconds.optional(),
  /** Whether the samples contain how slow the engine is. */
  samples_tell_slowdown: z.boolean().default(false),
  /**
   * One-way latency between a host and an engine, and the additional latency if
   * the engine is in another data centre.
   */
  way_ms: milliseconds,
  crossing_ms: milliseconds,
  /**
   * Time from the start of a call until its caller gives up if no event has
   * arrived in any of its tries.
   */
  silence_ms: milliseconds,
  /** Whether the first event of an answer tells the engine's load. */
  answers_tell_load: z.boolean().default(false),
  /** Workspaces of callers, of equal size unless a pattern says otherwise. */
  workspaces: z.number().int().positive().default(1),
  kinds: z.array(kindSchema).min(1),
});
