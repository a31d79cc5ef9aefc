import type { AnswerVisibility } from "./answer_visibility.ts";
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
import { findHold } from "./find_hold.ts";
import { isOverdue } from "./is_overdue.ts";
import { LiftedBlames } from "./lifted_blames.ts";
import { listUnkeptCrashes } from "./list_unkept_crashes.ts";
import { listPartWatches } from "./list_part_watches.ts";
import { nameParts } from "./name_parts.ts";
import { parsePartNames } from "./parse_part_names.ts";
import { reportsFromRow } from "./reports_from_row.ts";
import type { PartWatch } from "./part_watch.ts";
import type { Suspect } from "./suspect.ts";
import { SuspectTable } from "./suspect_table.ts";
import type { Survival } from "./survival.ts";
import type { SurvivalOutcome } from "./survival_outcome.ts";

/**
 * How much longer than the decision delay indistinguishable suspects wait for
 * another crash or a surviving answer.
 */
const AMBIGUITY_MILLISECONDS = 280;
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
  /**
   * Since when most answers are watched for those that survive, monotonic
   * milliseconds; by default always.
   */
  coveredSince?: (now: number) => number;
  /** Whether answers are seen at all; by default they are. */
  answers?: AnswerVisibility;
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
 * - an answer that survives clears the parts of its prompt of the crashes before
 *   it started, but not of later ones: a part can become harmful.
 */
export class CrashLedger {
  #options: Options;
  #suspects = new SuspectTable();
  #blames = new BlameTable();
  #lifted = new LiftedBlames();
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

  /** Whether any prompt part is suspected. */
  get hasSuspectedParts(): boolean {
    return this.#suspects.partCount > 0;
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
    this.#recordOutlived(report, now);
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
   * Records an answer that may have survived on a prompt part. Clears the part
   * of earlier crashes, and frees it from blames without a crash since the
   * answer started.
   */
  recordSurvival(survival: Survival): SurvivalOutcome {
    const { part, begunAt, isComplete } = survival;
    const outcome: SurvivalOutcome = { isNew: false, lifted: [], narrowed: [] };
    const evidence = this.#suspects.find(nameParts([part]));
    // Without evidence, how long a crash takes is not known.
    const isEnough = evidence?.isSurvival(survival) ?? isComplete;
    if (!isEnough) return outcome;
    outcome.isNew = evidence?.clearBefore(begunAt) ?? false;
    for (const blame of this.#blames.findCalmSince(part, begunAt)) {
      outcome.lifted.push(blame.fingerprint);
      const narrowed = this.#freePart(part, blame);
      if (narrowed !== undefined) outcome.narrowed.push(narrowed);
    }
    return outcome;
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
  get hasPendingSuspects(): boolean {
    return this.#suspects.list().some((suspect) =>
      (suspect.evidence.sufficientSince !== undefined ||
        suspect.evidence.manySince !== Infinity) &&
      !this.#blames.has(suspect.name)
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

  /** Whether a surviving answer has lifted the blame, with no crash since. */
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
   * Blamed prompt parts, then suspected ones with at least some weight of
   * evidence, those with most first.
   */
  listPartWatches({ minWeight }: { minWeight: number }): PartWatch[] {
    return listPartWatches({
      suspects: this.#suspects.listParts(),
      blamed: this.#blames.listParts(),
      minWeight,
    });
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
      findHold: (suspect) =>
        this.#isOverdue(suspect, now)
          ? "overdue"
          : this.#findHold(suspect, now),
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
    const overdue = new Set(
      suspects.filter((suspect) => this.#isOverdue(suspect, now)),
    );
    return findCulprit({
      suspects,
      decidable: suspects.filter((suspect) =>
        (suspect.evidence.kind === "request" || isPartDecidable) &&
        !this.#blames.has(suspect.name) &&
        (overdue.has(suspect) ||
          ageOf(suspect) >= decisionDelayMilliseconds &&
            this.#findHold(suspect, now) === undefined)
      ),
      mayWait: (suspect) =>
        !overdue.has(suspect) &&
        ageOf(suspect) < decisionDelayMilliseconds + AMBIGUITY_MILLISECONDS,
    });
  }

  #isOverdue(suspect: Suspect, now: number): boolean {
    const { answers } = this.#options;
    return isOverdue(suspect, { answers, now });
  }

  #findHold(suspect: Suspect, now: number) {
    const { firstCrashAt } = suspect.evidence;
    const unexplainedCrashes = this.#suspects.listCrashesSince(firstCrashAt)
      .filter((incarnation) =>
        this.#blames.culpritOf(incarnation) === undefined
      ).length;
    const coveredSince = this.#options.coveredSince?.(now) ?? -Infinity;
    return findHold(suspect, { unexplainedCrashes, coveredSince, now });
  }

  /** An answer that has long run when its server crashes didn't crash it. */
  #recordOutlived(report: CrashReport, now: number): void {
    const { parts = [], crashedAt = now, begunMilliseconds } = report;
    if (begunMilliseconds === undefined || report.isGivenUp) return;
    const begunAt = crashedAt - begunMilliseconds;
    for (const part of parts) {
      const evidence = this.#suspects.find(nameParts([part]));
      const livedMilliseconds = begunMilliseconds;
      const survival = { part, begunAt, livedMilliseconds, isComplete: false };
      if (evidence?.isSurvival(survival)) evidence.clearBefore(begunAt);
    }
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
