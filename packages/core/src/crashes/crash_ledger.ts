import type { Blame } from "./blame.ts";
import { BlameGate } from "./blame_gate.ts";
import { BlameTable } from "./blame_table.ts";
import { compareByAnswerStart } from "./compare_by_answer_start.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { CrashReport } from "./crash_report.ts";
import { describeEvidence } from "./describe_evidence.ts";
import type { Culprit } from "./culprit.ts";
import type { ClockReadings } from "./clock_readings.ts";
import type { CrashRow } from "./crash_row.ts";
import { findCulprit } from "./find_culprit.ts";
import type { GoodEnd } from "./good_end.ts";
import type { GoodEndNews } from "./good_end_news.ts";
import type { GoodEndOutcome } from "./good_end_outcome.ts";
import { GoodEndTally } from "./good_end_tally.ts";
import { judgePart } from "./judge_part.ts";
import { LiftedBlames } from "./lifted_blames.ts";
import { listUnkeptCrashes } from "./list_unkept_crashes.ts";
import { listPartWatches } from "./list_part_watches.ts";
import { nameParts } from "./name_parts.ts";
import { parsePartNames } from "./parse_part_names.ts";
import { reportsFromRow } from "./reports_from_row.ts";
import type { PartVerdict } from "./part_verdict.ts";
import type { PartWatch } from "./part_watch.ts";
import type { Suspect } from "./suspect.ts";
import { SuspectTable } from "./suspect_table.ts";

/**
 * How much longer than the decision delay indistinguishable suspects wait for
 * another crash or a good end.
 */
const AMBIGUITY_MILLISECONDS = 280;
/**
 * As long for a request that may merely stand beside a suspected part, until there
 * are enough good ends.
 */
const BYSTANDER_MILLISECONDS = 1_500;
/** Good ends for a decision have come by then, or won't come. */
const PENDING_MILLISECONDS = 60_000;

type Options = {
  /**
   * A suspect is blamed only once this long has passed since its crashes became
   * enough, so that all reports of them, or the decision of another host, can
   * arrive first. Further crashes don't put the decision off.
   */
  decisionDelayMilliseconds: number;
  /**
   * Whether trial runs wait for `permitTrial`, so that of many hosts only one
   * admits a run; by default, this host admits one.
   */
  waitsForPermits?: boolean;
  /**
   * Whether this host may blame prompt parts now. A host that sees only its own
   * answers leaves that to hosts that hear of all. By default, it may.
   */
  mayBlameParts?: () => boolean;
};

/**
 * Identifies the requests and prompt parts that crash the backend servers
 * running them, and decides how long these requests are refused.
 *
 * One request among thousands crashes every backend server that runs it, and
 * is sent again, one attempt after the other or many at once, at any host; or
 * distinct requests share a prompt part that does. Each crash
 * interrupts all other requests in flight on that backend server, and these are
 * retried on the next one together with the harmful ones. By presence at crashes
 * alone, they look as guilty. Therefore:
 * - a crash attributed to one culprit is not evidence against any other;
 * - of the suspects, `findCulprit` chooses;
 * - a request that completes successfully is no longer suspected;
 * - an answer that comes to its good end clears the parts of its prompt of the
 *   crashes before its request was sent, but not of later ones: a part can become
 *   harmful;
 * - a part is judged by the good ends that others have meanwhile, see `judgePart`.
 */
export class CrashLedger {
  #options: Options;
  #suspects = new SuspectTable();
  #blames = new BlameTable();
  #lifted = new LiftedBlames();
  #goodEnds = new GoodEndTally();
  #running = new GoodEndTally();
  #gate: BlameGate;

  constructor(options: Options) {
    this.#options = options;
    const { waitsForPermits = false } = options;
    this.#gate = new BlameGate(this.#blames, { waitsForPermits });
  }

  /** Whether any blame is stored, also one whose refusal period has ended. */
  get hasBlamed(): boolean {
    return this.#blames.size > 0;
  }

  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** Whether the end of a start of a server is known. */
  hasEnded(incarnation: string): boolean {
    return this.#suspects.scenes.has(incarnation);
  }

  /** Records a report. Returns whether it added new evidence. */
  recordReport(report: CrashReport, now: number): boolean {
    return this.#record(report, this.#suspects.add(report, now), now);
  }

  /** Records what is stored of a crash from before this process started. */
  restoreCrash(row: CrashRow, clocks: ClockReadings): void {
    const now = clocks.monotonic;
    for (const report of reportsFromRow(row, clocks)) {
      this.#record(report, this.#suspects.restore(report, now), now);
    }
  }

  #record(report: CrashReport, added: string[], now: number): boolean {
    const { fingerprint, incarnation, parts = [] } = report;
    const culprit = this.#blames.culpritOf(incarnation);
    if (culprit !== undefined) {
      this.#suspects.excludeReport(report, culprit);
      return listSuspectNames(culprit).some((name) => added.includes(name));
    }
    if (added.length === 0) return false;
    const [blame] = this.#blames.findAll({ fingerprint, parts });
    if (blame !== undefined) {
      this.#blames.extend(blame, incarnation, now);
      this.#attribute([incarnation], blame.fingerprint);
    }
    return true;
  }

  /**
   * Adds what a host tells of good ends; `source` names one run of its process.
   * Returns those that changed something.
   */
  addGoodEnds(
    source: string,
    news: GoodEndNews,
  ): { end: GoodEnd; outcome: GoodEndOutcome }[] {
    const changes = news.ends
      .map((end) => ({ end, outcome: this.recordGoodEnd(end) }))
      .filter(({ outcome }) => outcome.isNew || outcome.lifted.length > 0);
    this.#goodEnds.add(source, news);
    return changes;
  }

  /**
   * Adds what a host tells of answers that are running well, in the shape of good
   * ends. They clear nothing, as what runs may still crash its server.
   */
  addRunningAnswers(source: string, news: GoodEndNews): void {
    this.#running.add(source, news);
  }

  /** Forgets what a host that is gone had counted. */
  forgetGoodEndsOf(source: string): void {
    this.#goodEnds.forget(source);
    this.#running.forget(source);
  }

  /**
   * Records a good end of an answer on a prompt part. Clears the part of crashes
   * before its request was sent, and frees it from blames without a crash since.
   */
  recordGoodEnd({ part, sentAt, endedAt }: GoodEnd): GoodEndOutcome {
    const evidence = this.#suspects.find(nameParts([part]));
    const isCleared = evidence?.clearBefore(sentAt) ?? false;
    const isDue = evidence !== undefined && this.#noteGoodEnd(part, endedAt);
    const outcome: GoodEndOutcome = {
      isNew: isDue || isCleared,
      lifted: [],
      narrowed: [],
    };
    for (const blame of this.#blames.findCalmSince(part, sentAt)) {
      outcome.lifted.push(blame.fingerprint);
      const narrowed = this.#freePart(part, blame);
      if (narrowed !== undefined) outcome.narrowed.push(narrowed);
    }
    return outcome;
  }

  /** Returns whether hosts that hear of other answers are to be told. */
  #noteGoodEnd(part: string, endedAt: number): boolean {
    this.#running.noteEnd(part);
    return this.#goodEnds.noteEnd(part, endedAt);
  }

  /** Blames the suspects with sufficient evidence, and returns these blames. */
  blameSuspects(now: number): Blame[] {
    const newBlames: Blame[] = [];
    // Blaming a suspect takes its crashes off the others' evidence.
    for (;;) {
      const culprit = this.#findCulprit(now);
      if (culprit === undefined) return newBlames;
      newBlames.push(this.#blames.create(culprit, now));
      this.#attribute(culprit.incarnations, culprit.name);
    }
  }

  /**
   * Whether `blameSuspects` has to be called again: there is sufficient evidence
   * against a suspect, but more reports of the same crash may still arrive.
   */
  hasPendingSuspects(now: number): boolean {
    return this.#suspects.list().some(({ name, evidence }) =>
      evidence.knownCrashes >= CRASHES_TO_BLAME &&
      evidence.weight >= CRASHES_TO_BLAME &&
      now - evidence.lastReportedAt <= PENDING_MILLISECONDS &&
      !this.#blames.has(name)
    );
  }

  /**
   * Takes over a blame known to another host or stored in the replicated
   * tables. Returns whether it is new or counts more crashes than known here;
   * one that was lifted here is neither.
   */
  mergeBlame(blame: Blame): boolean {
    if (this.hasLifted(blame)) return false;
    const { fingerprint, crashes, incarnations } = blame;
    const known = this.#blames.get(fingerprint);
    const isNewer = known === undefined || known.crashes < crashes;
    if (isNewer) {
      const all = [...incarnations, ...this.incarnationsOf(fingerprint)];
      this.#blames.record(blame, all);
      this.#attribute(all, fingerprint);
    }
    return isNewer;
  }

  /** Whether a good end has lifted the blame, with no crash since. */
  hasLifted(blame: Blame): boolean {
    return !this.#blames.has(blame.fingerprint) && this.#lifted.has(blame);
  }

  /** See `BlameGate.check`. */
  checkBlame(
    fingerprint: string,
    now: number,
    parts: readonly string[] = [],
  ): Blame | undefined {
    return this.#gate.check({ fingerprint, parts }, now);
  }

  /** Whether the request is refused now. Doesn't start a trial. */
  isRefused(
    fingerprint: string,
    now: number,
    parts: readonly string[] = [],
  ): boolean {
    return this.#blames.findAll({ fingerprint, parts })
      .some(({ endsAt }) => now < endsAt);
  }

  /** Whether a blame's refusal period is over, so that a trial run may begin. */
  isDueForTrial(name: string, now: number): boolean {
    const blame = this.#blames.get(name);
    return blame !== undefined && now >= blame.endsAt;
  }

  /** A trial run begins at some host: until it times out, others are refused. */
  beginTrial(name: string, now: number): void {
    this.#blames.beginTrial(name, now);
  }

  /** Admits the next request that the blame applies to as the trial run. */
  permitTrial(name: string, now: number): void {
    this.#gate.permitTrial(name, now);
  }

  /**
   * Whether a host may retry the request on its own: not once one more crash
   * could be enough to blame it. Another attempt is then left to the client,
   * which may not make one.
   */
  mayRetry(fingerprint: string): boolean {
    return this.evidenceWeightOf(fingerprint) < CRASHES_TO_BLAME - 1;
  }

  /**
   * Weight of the crashes that are evidence against a request or, by its name,
   * a part.
   */
  evidenceWeightOf(name: string): number {
    return this.#suspects.find(name)?.weight ?? 0;
  }

  /**
   * Removes suspicion and blame of a request, as after a successful run, or
   * lifts the blame of the named parts. Returns whether there was any.
   */
  clear(name: string): boolean {
    const isOfParts = parsePartNames(name) !== undefined;
    const wasSuspect = !isOfParts && this.#suspects.delete(name);
    const wasBlamed = this.#blames.has(name);
    this.#release(this.#blames.delete(name));
    return wasSuspect || wasBlamed;
  }

  /**
   * Reports of those of the given requests, by default of all, that may not be
   * retried and are not blamed, grouped by request. The requests whose answers
   * had started the shortest time before their crashes, the likeliest culprits,
   * come first.
   */
  listSuspicions(
    fingerprints: Iterable<string> = this.#suspects.requestNames(),
  ): CrashReport[][] {
    return [...new Set(fingerprints)]
      .filter((fingerprint) =>
        !this.mayRetry(fingerprint) && !this.#blames.has(fingerprint)
      )
      .map((name): Suspect => ({ name, evidence: this.#suspects.find(name)! }))
      .sort(compareByAnswerStart)
      .map(({ name, evidence }) => evidence.reportsFor(name));
  }

  /**
   * Blamed prompt parts, then suspected ones with at least some crashes,
   * those with most first.
   */
  listPartWatches({ minCrashes }: { minCrashes: number }): PartWatch[] {
    return listPartWatches({
      suspects: this.#suspects.listParts(),
      blamed: this.#blames.listParts(),
      minCrashes,
    });
  }

  /** To be called with the watches that hosts were told of. */
  noteWatches(watches: readonly PartWatch[], now: number): void {
    for (const { part } of watches) {
      this.#goodEnds.noteWatch(part, now);
      this.#running.noteWatch(part, now);
    }
  }

  /** Rows of the crashes of which more is known than is stored in `kept`. */
  listUnkept(
    kept: ReadonlyMap<string, CrashRow>,
    clocks: ClockReadings,
  ): CrashRow[] {
    return listUnkeptCrashes(this.#suspects.scenes, kept, clocks);
  }

  /** See `describeEvidence`. */
  describeEvidence({ limit, now }: { limit: number; now: number }): string[] {
    return describeEvidence(this.#suspects.list(), {
      limit,
      judge: (suspect) => this.#judge(suspect, now),
    });
  }

  listBlames(): Blame[] {
    return this.#blames.list();
  }

  incarnationsOf(name: string): string[] {
    return this.#suspects.find(name)?.incarnations ?? [];
  }

  /**
   * Drops old suspects, and blames that ended longer ago than their refusal
   * period; to be called periodically.
   */
  expire(now: number): void {
    this.#suspects.expire(now, (name) => this.#blames.has(name));
    this.#gate.expire(now);
    for (const name of this.#blames.listExpired(now)) {
      this.#blames.delete(name);
      this.#suspects.delete(name);
    }
  }

  #findCulprit(now: number): Culprit | undefined {
    const { decisionDelayMilliseconds, mayBlameParts } = this.#options;
    const isPartDecidable = mayBlameParts?.() ?? true;
    const ageOf = ({ evidence: { sufficientSince } }: Suspect) =>
      sufficientSince === undefined ? -Infinity : now - sufficientSince;
    const suspects = this.#suspects.list();
    for (const suspect of suspects) {
      const { evidence } = suspect;
      if (evidence.kind === "request") continue;
      const isGuilty = evidence.knownCrashes >= CRASHES_TO_BLAME &&
        this.#judge(suspect, now).isGuilty;
      evidence.judge(isGuilty, now);
    }
    return findCulprit({
      suspects,
      decidable: suspects.filter((suspect) =>
        (suspect.evidence.kind === "request" || isPartDecidable) &&
        !this.#blames.has(suspect.name) &&
        ageOf(suspect) >= decisionDelayMilliseconds
      ),
      mayWait: (suspect) =>
        ageOf(suspect) < decisionDelayMilliseconds + (
              suspect.evidence.kind === "request"
                ? BYSTANDER_MILLISECONDS
                : AMBIGUITY_MILLISECONDS
            ),
      isBlamed: (name) => this.#blames.has(name),
    });
  }

  #judge({ name, evidence }: Suspect, now: number): PartVerdict {
    const { firstCrashAt, explained } = evidence;
    const [part] = parsePartNames(name)!;
    return judgePart({
      evidence,
      since: this.#suspects.countSince(firstCrashAt, explained),
      goodEnds: this.#goodEnds.measure(part!, now),
      running: this.#running.measure(part!, now),
      now,
    });
  }

  /**
   * Crashes that are attributed to a culprit count against no other, nor again
   * against parts.
   */
  #attribute(incarnations: string[], culprit: string): void {
    this.#suspects.excludeCrashes(incarnations, culprit);
  }

  /**
   * The crashes of a blame that was wrong count again, but for those that another
   * blame explains.
   */
  #release(incarnations: string[]): void {
    this.#suspects.includeCrashes(incarnations);
    for (const { fingerprint, incarnations: explained } of this.listBlames()) {
      const taken = incarnations.filter((each) => explained.includes(each));
      if (taken.length === 0) continue;
      this.#blames.attribute(taken, fingerprint);
      this.#attribute(taken, fingerprint);
    }
  }

  /** Returns the blame without the part, if it blames others. */
  #freePart(part: string, blame: Blame): Blame | undefined {
    const released = this.#blames.delete(blame.fingerprint);
    this.#lifted.record(blame.fingerprint, [
      ...blame.incarnations,
      ...released,
    ]);
    const narrowed = this.#blames.withoutPart(blame, part);
    if (narrowed === undefined) {
      this.#release(released);
      return undefined;
    }
    this.#blames.record(narrowed, released);
    this.#attribute(released, narrowed.fingerprint);
    return narrowed;
  }
}

/** Names of the suspects that a blame is on. */
function listSuspectNames(culprit: string): string[] {
  const parts = parsePartNames(culprit);
  return parts?.map((part) => nameParts([part])) ?? [culprit];
}
