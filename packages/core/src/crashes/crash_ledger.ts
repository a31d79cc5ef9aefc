import type { Blame } from "./blame.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { CrashReport } from "./crash_report.ts";

/**
 * How long a request is refused after its first blame (its refusal period):
 * time to fix the request at its sender, or the backend server that crashes on
 * it.
 */
const INITIAL_TERM_MILLISECONDS = 900_000;
const MAX_TERM_MILLISECONDS = 86_400_000;
/**
 * Longer than any run, so that no second trial run starts while one is in
 * flight.
 */
const TRIAL_MILLISECONDS = 60_000;
/**
 * How long after its latest crash a request that is not blamed stays suspected:
 * older crashes say nothing about it.
 */
const EVIDENCE_RETENTION_MILLISECONDS = 600_000;
const MAX_SUSPECTS = 4_096;
const MAX_BLAMED_REQUESTS = 1_024;
const MAX_ATTRIBUTED_CRASHES = 1_024;
/** Crashes that a blame lists when it is sent to other hosts. */
const MAX_INCARNATIONS_PER_BLAME = 8;

type Options = {
  /**
   * A suspect is blamed only once this long has passed since its crashes became
   * enough, so that all reports of them, or the decision of another host, can
   * arrive first. Further crashes don't put the decision off.
   */
  decisionDelayMilliseconds: number;
};

type Suspect = [fingerprint: string, evidence: CrashEvidence];

/**
 * Identifies the requests that crash the backend servers running them, and
 * decides how long these requests are refused.
 *
 * One request among thousands crashes every backend server that runs it, and
 * is sent again, one attempt after the other or many at once, at any host.
 * Each crash interrupts all other requests in flight on that backend server,
 * and these are retried on the next one together with the harmful request. By
 * presence at crashes alone, they look as guilty as the request at fault.
 * Therefore:
 * - a crash attributed to one request is not evidence against any other;
 * - of the requests in flight at three crashes, the one whose answers had on
 *   average started the shortest time before the crash is blamed first;
 * - a request that completes successfully is no longer suspected.
 */
export class CrashLedger {
  #options: Options;
  /** By fingerprint; the most recently reported suspect is last. */
  #suspects = new Map<string, CrashEvidence>();
  #blamed = new Map<string, Blame>();
  /** Fingerprint of the request that a crash is attributed to. */
  #culpritByIncarnation = new Map<string, string>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether any blame is stored, also one whose refusal period has ended. */
  get hasBlamed(): boolean {
    return this.#blamed.size > 0;
  }

  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** Records a report. Returns whether it added new evidence. */
  recordReport(report: CrashReport, now: number): boolean {
    const { fingerprint, incarnation } = report;
    const blame = this.#blamed.get(fingerprint);
    const culprit = this.#culpritByIncarnation.get(incarnation);
    if (culprit !== undefined && culprit !== fingerprint) return false;
    const evidence = this.#refreshEvidence(fingerprint);
    if (!evidence.add(report, now)) return false;
    if (blame !== undefined) this.#extendBlame(blame, incarnation, now);
    return true;
  }

  /** Blames the requests with sufficient evidence, and returns these blames. */
  blameSuspects(now: number): Blame[] {
    const newBlames: Blame[] = [];
    for (const [fingerprint, evidence] of this.#decidableSuspects(now)) {
      // Blaming an earlier suspect took its crashes off the others' evidence.
      if (evidence.weight < CRASHES_TO_BLAME) continue;
      const { incarnations } = evidence;
      const blame = {
        fingerprint,
        crashes: incarnations.length,
        incarnations: incarnations.slice(-MAX_INCARNATIONS_PER_BLAME),
        termMilliseconds: INITIAL_TERM_MILLISECONDS,
        endsAt: now + INITIAL_TERM_MILLISECONDS,
      };
      this.#recordBlame(blame);
      newBlames.push(blame);
    }
    return newBlames;
  }

  /**
   * Whether `blameSuspects` has to be called again: a request has sufficient
   * evidence against it, but more reports of the same crash may still arrive.
   */
  get hasPendingSuspects(): boolean {
    return [...this.#suspects].some(([fingerprint, { weight }]) =>
      weight >= CRASHES_TO_BLAME && !this.#blamed.has(fingerprint)
    );
  }

  /**
   * Takes over a blame known to another host or stored in the replicated
   * tables. Returns whether it is new or counts more crashes than known here.
   */
  mergeBlame(blame: Blame): boolean {
    const known = this.#blamed.get(blame.fingerprint);
    const isNewer = known === undefined || known.crashes < blame.crashes;
    if (isNewer) this.#recordBlame(blame);
    return isNewer;
  }

  /**
   * Returns the blame for which a request must be refused now; undefined if it
   * may run. After the refusal period, one run is admitted as a trial. Others
   * are refused until that run succeeds and `clear` is called, or until the
   * trial times out.
   */
  checkBlame(fingerprint: string, now: number): Blame | undefined {
    const blame = this.#blamed.get(fingerprint);
    if (blame === undefined) return undefined;
    if (now < blame.endsAt) return blame;
    blame.endsAt = now + TRIAL_MILLISECONDS;
    return undefined;
  }

  /** Whether the request is refused now. Doesn't start a trial. */
  isRefused(fingerprint: string, now: number): boolean {
    const blame = this.#blamed.get(fingerprint);
    return blame !== undefined && now < blame.endsAt;
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
   * Number of crashes that are evidence against the request; those before its
   * answer started count half.
   */
  evidenceWeightOf(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.weight ?? 0;
  }

  /**
   * Removes suspicion and blame, as after a successful run. Returns whether the
   * request was suspected or blamed.
   */
  clear(fingerprint: string): boolean {
    const wasSuspect = this.#suspects.delete(fingerprint);
    const wasBlamed = this.#blamed.delete(fingerprint);
    return wasSuspect || wasBlamed;
  }

  /**
   * Reports of those of the given requests, by default of all, that may not be
   * retried and are not blamed, grouped by request. The requests whose answers
   * had started the shortest time before their crashes, the likeliest culprits,
   * come first.
   */
  listSuspicions(
    fingerprints: Iterable<string> = this.#suspects.keys(),
  ): CrashReport[][] {
    return [...new Set(fingerprints)]
      .filter((fingerprint) =>
        !this.mayRetry(fingerprint) && !this.#blamed.has(fingerprint)
      )
      .map((fingerprint): Suspect => [
        fingerprint,
        this.#suspects.get(fingerprint)!,
      ])
      .sort(byTimeFromAnswerStart)
      .map(([fingerprint, evidence]) => evidence.reportsFor(fingerprint));
  }

  listBlames(): Blame[] {
    return [...this.#blamed.values()];
  }

  incarnationsOf(fingerprint: string): string[] {
    return this.#suspects.get(fingerprint)?.incarnations ?? [];
  }

  /**
   * Drops suspects without a new crash for `EVIDENCE_RETENTION_MILLISECONDS`,
   * 10 minutes, and blames that ended longer ago than their refusal period; to
   * be called periodically.
   */
  expire(now: number): void {
    for (const [fingerprint, { lastReportedAt }] of [...this.#suspects]) {
      const isOld = now - lastReportedAt > EVIDENCE_RETENTION_MILLISECONDS;
      if (isOld && !this.#blamed.has(fingerprint)) {
        this.#suspects.delete(fingerprint);
      }
    }
    for (const [fingerprint, { endsAt, termMilliseconds }] of this.#blamed) {
      if (now - endsAt > termMilliseconds) this.clear(fingerprint);
    }
  }

  #decidableSuspects(now: number): Suspect[] {
    return [...this.#suspects]
      .filter(([fingerprint, { sufficientSince }]) =>
        sufficientSince !== undefined &&
        now - sufficientSince >= this.#options.decisionDelayMilliseconds &&
        !this.#blamed.has(fingerprint)
      )
      .sort(byTimeFromAnswerStart);
  }

  #recordBlame(blame: Blame): void {
    const { fingerprint, incarnations } = blame;
    this.#blamed.delete(fingerprint);
    this.#blamed.set(fingerprint, { ...blame });
    dropOldest(this.#blamed, MAX_BLAMED_REQUESTS);
    const all = [...incarnations, ...this.incarnationsOf(fingerprint)];
    for (const incarnation of all) {
      this.#attributeCrash(incarnation, fingerprint);
    }
  }

  /**
   * Counts another crash during which a blamed request was in flight, as a
   * trial or because some host still had it running. If no more than the time
   * of a trial is left until `endsAt`, this counts as a failed trial and
   * doubles the refusal period.
   */
  #extendBlame(blame: Blame, incarnation: string, now: number): void {
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
    this.#attributeCrash(incarnation, blame.fingerprint);
  }

  /** Attributes a crash to one request: it no longer counts against others. */
  #attributeCrash(incarnation: string, culprit: string): void {
    this.#culpritByIncarnation.set(incarnation, culprit);
    dropOldest(this.#culpritByIncarnation, MAX_ATTRIBUTED_CRASHES);
    for (const [fingerprint, evidence] of [...this.#suspects]) {
      if (fingerprint === culprit) continue;
      evidence.remove(incarnation);
      if (evidence.weight === 0) this.#suspects.delete(fingerprint);
    }
  }

  #refreshEvidence(fingerprint: string): CrashEvidence {
    const known = this.#suspects.get(fingerprint);
    const evidence = known ?? new CrashEvidence();
    // Reinserted as the latest, the suspect is the last to be evicted.
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, evidence);
    dropOldest(this.#suspects, MAX_SUSPECTS);
    return evidence;
  }
}

function byTimeFromAnswerStart(
  [, left]: Suspect,
  [, right]: Suspect,
): number {
  return left.meanMillisecondsFromAnswerStart -
    right.meanMillisecondsFromAnswerStart;
}

function dropOldest(entries: Map<string, unknown>, maxSize: number): void {
  if (entries.size <= maxSize) return;
  entries.delete(entries.keys().next().value!);
}
