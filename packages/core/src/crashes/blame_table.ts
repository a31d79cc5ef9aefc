import type { Blame } from "./blame.ts";
import type { Culprit } from "./culprit.ts";
import { nameParts } from "./name_parts.ts";
import { parsePartNames } from "./parse_part_names.ts";
import type { RequestTraits } from "./request_traits.ts";

/**
 * How long a request is refused after its first blame (its refusal period):
 * time to fix the request at its sender, or the backend server that crashes on
 * it.
 */
const INITIAL_TERM_MILLISECONDS = 900_000;
/** As INITIAL_TERM_MILLISECONDS; a wrong blame refuses many requests. */
const INITIAL_PART_TERM_MILLISECONDS = 120_000;
const MAX_TERM_MILLISECONDS = 86_400_000;
/**
 * Longer than any run, so that no second trial run starts while one is in
 * flight.
 */
const TRIAL_MILLISECONDS = 60_000;
const MAX_BLAMES = 1_024;
const MAX_ATTRIBUTED_CRASHES = 1_024;
/** Crashes that a blame lists when it is sent to other hosts. */
const MAX_INCARNATIONS_PER_BLAME = 8;

type BlameEntry = {
  blame: Blame;
  /** The parts that are blamed; undefined for a request. */
  parts: string[] | undefined;
  /** When the latest crash was, or later; monotonic milliseconds. */
  lastCrashAt: number;
};

/** The blames that are in force, and the crashes that are attributed to them. */
export class BlameTable {
  /** By fingerprint or names of parts; the latest is last. */
  #entries = new Map<string, BlameEntry>();
  /** Name of the blame that a crash is attributed to. */
  #culpritByIncarnation = new Map<string, string>();

  get size(): number {
    return this.#entries.size;
  }

  has(name: string): boolean {
    return this.#entries.has(name);
  }

  get(name: string): Blame | undefined {
    return this.#entries.get(name)?.blame;
  }

  list(): Blame[] {
    return [...this.#entries.values()].map(({ blame }) => blame);
  }

  culpritOf(incarnation: string): string | undefined {
    return this.#culpritByIncarnation.get(incarnation);
  }

  /** All blames of a request, or of parts that are all in its prompt. */
  findAll({ fingerprint, parts }: RequestTraits): Blame[] {
    const request = this.#entries.get(fingerprint);
    const found = request === undefined ? [] : [request.blame];
    if (parts.length === 0) return found;
    for (const { blame, parts: blamed } of this.#entries.values()) {
      if (blamed?.every((part) => parts.includes(part))) found.push(blame);
    }
    return found;
  }

  /** Creates a blame and records it. */
  create({ name, incarnations, lastCrashAt }: Culprit, now: number): Blame {
    const termMilliseconds = parsePartNames(name) === undefined
      ? INITIAL_TERM_MILLISECONDS
      : INITIAL_PART_TERM_MILLISECONDS;
    const blame = {
      fingerprint: name,
      crashes: incarnations.length,
      incarnations: incarnations.slice(-MAX_INCARNATIONS_PER_BLAME),
      termMilliseconds,
      endsAt: now + termMilliseconds,
    };
    this.record(blame, incarnations);
    this.#entries.get(name)!.lastCrashAt = lastCrashAt;
    return blame;
  }

  /** Records a blame with the incarnations that are attributed to it. */
  record(blame: Blame, incarnations: string[]): void {
    const name = blame.fingerprint;
    this.#entries.delete(name);
    this.#entries.set(name, {
      blame: { ...blame },
      parts: parsePartNames(name),
      lastCrashAt: blame.endsAt - blame.termMilliseconds,
    });
    dropOldest(this.#entries, MAX_BLAMES);
    this.attribute(incarnations, name);
  }

  /**
   * Counts another crash during which a blamed request was in flight, as a
   * trial or because some host still had it running. If no more than the time
   * of a trial is left until `endsAt`, this counts as a failed trial and
   * doubles the refusal period.
   */
  extend({ fingerprint }: Blame, incarnation: string, now: number): void {
    const entry = this.#entries.get(fingerprint)!;
    const { blame } = entry;
    const wasTrialRun = blame.endsAt - now <= TRIAL_MILLISECONDS;
    blame.crashes += 1;
    blame.incarnations = [...blame.incarnations, incarnation].slice(
      -MAX_INCARNATIONS_PER_BLAME,
    );
    if (wasTrialRun) {
      blame.termMilliseconds = Math.min(
        MAX_TERM_MILLISECONDS,
        blame.termMilliseconds * 2,
      );
    }
    blame.endsAt = now + blame.termMilliseconds;
    entry.lastCrashAt = now;
    this.#attribute(incarnation, fingerprint);
  }

  /** Begins a trial run: others are refused until it ends or times out. */
  beginTrial(name: string, now: number): void {
    const entry = this.#entries.get(name);
    if (entry !== undefined) entry.blame.endsAt = now + TRIAL_MILLISECONDS;
  }

  /** Removes a blame. Returns the incarnations that were attributed to it. */
  delete(name: string): string[] {
    this.#entries.delete(name);
    const released = [...this.#culpritByIncarnation]
      .filter(([, culprit]) => culprit === name)
      .map(([incarnation]) => incarnation);
    for (const incarnation of released) {
      this.#culpritByIncarnation.delete(incarnation);
    }
    return released;
  }

  /** The crashes are attributed to a blame. */
  attribute(incarnations: string[], name: string): void {
    for (const incarnation of incarnations) this.#attribute(incarnation, name);
  }

  /** All blamed parts, with the time of the latest crash. */
  listParts(): { part: string; lastCrashAt: number }[] {
    return [...this.#entries.values()].flatMap(({ parts, lastCrashAt }) =>
      (parts ?? []).map((part) => ({ part, lastCrashAt }))
    );
  }

  /** Blames of a part, with others or alone, without a crash since `time`. */
  findCalmSince(part: string, time: number): Blame[] {
    return [...this.#entries.values()]
      .filter(({ parts, lastCrashAt }) =>
        parts?.includes(part) && lastCrashAt < time
      )
      .map(({ blame }) => blame);
  }

  /**
   * The blame without one of its parts, which then applies to more requests;
   * undefined if none is left.
   */
  withoutPart(blame: Blame, part: string): Blame | undefined {
    const left = parsePartNames(blame.fingerprint)!
      .filter((blamed) => blamed !== part);
    if (left.length === 0) return undefined;
    return { ...blame, fingerprint: nameParts(left) };
  }

  /** Names of the blames that ended longer ago than their refusal period. */
  listExpired(now: number): string[] {
    return this.list()
      .filter(({ endsAt, termMilliseconds }) => now - endsAt > termMilliseconds)
      .map(({ fingerprint }) => fingerprint);
  }

  #attribute(incarnation: string, name: string): void {
    this.#culpritByIncarnation.set(incarnation, name);
    dropOldest(this.#culpritByIncarnation, MAX_ATTRIBUTED_CRASHES);
  }
}

function dropOldest(entries: Map<string, unknown>, maxSize: number): void {
  if (entries.size <= maxSize) return;
  entries.delete(entries.keys().next().value!);
}
