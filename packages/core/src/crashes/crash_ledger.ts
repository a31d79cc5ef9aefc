import type { Blame } from "./blame.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { CrashReport } from "./crash_report.ts";

/** Time for whoever sends it to mend it, or what runs it. */
const TERM_MILLISECONDS = 900_000;
const LONGEST_TERM_MILLISECONDS = 86_400_000;
/** Longer than any run: meanwhile no second one is tried. */
const TRIAL_MILLISECONDS = 60_000;
/** Ends longer ago say nothing of a request that has not been blamed. */
const EVIDENCE_MILLISECONDS = 600_000;
const MOST_SUSPECTS = 4_096;
const MOST_BLAMED = 1_024;
const MOST_EXPLAINED = 1_024;
/** Of one blame, told to other hosts. */
const MOST_TOLD = 8;

type Options = {
  /** Reports of one end come from several hosts within so long. */
  settleMilliseconds: number;
};

/**
 * Finds the requests that end the backend servers which run them, and says
 * for how long they are not to be run.
 *
 * Pattern: one request among thousands ends whatever runs it, and comes again,
 * in series or many at once, at any host. Each end takes along all that ran
 * there, and these are sent on to the next backend server beside it: counted
 * by presence alone, they look as guilty as what they stood beside. An end
 * that is laid to one request therefore speaks against no other; of those that
 * were there at all of three ends, the one whose answers had just begun is
 * blamed; and who ran to a good end is not suspected any more.
 */
export class CrashLedger {
  #options: Options;
  /** By fingerprint, the latest suspect last. */
  #suspects = new Map<string, CrashEvidence>();
  #blamed = new Map<string, Blame>();
  /** Ends that were laid to a request, by whose they are. */
  #explained = new Map<string, string>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether any request is refused, or on trial behind that. */
  get hasBlamed(): boolean {
    return this.#blamed.size > 0;
  }

  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** Takes a report in; whether it told something new. */
  report(report: CrashReport, now: number): boolean {
    const { fingerprint, incarnation } = report;
    const blame = this.#blamed.get(fingerprint);
    const culprit = this.#explained.get(incarnation);
    if (culprit !== undefined && culprit !== fingerprint) return false;
    const evidence = this.#evidenceOf(fingerprint);
    if (!evidence.add(report, now)) return false;
    if (blame !== undefined) this.#blameAgain(blame, incarnation, now);
    return true;
  }

  /** Blames who is to be blamed by what was reported until now. */
  decide(now: number): Blame[] {
    const found: Blame[] = [];
    for (const [fingerprint, evidence] of this.#settledSuspects(now)) {
      // Ends that the one before is blamed for have been taken off.
      if (evidence.weight < CRASHES_TO_BLAME) continue;
      const { incarnations } = evidence;
      const blame = {
        fingerprint,
        crashes: incarnations.length,
        incarnations: incarnations.slice(-MOST_TOLD),
        termMilliseconds: TERM_MILLISECONDS,
        endsAt: now + TERM_MILLISECONDS,
      };
      this.#blame(blame);
      found.push(blame);
    }
    return found;
  }

  /** Whether a report waits for others of the same end before it decides. */
  get isUndecided(): boolean {
    return [...this.#suspects].some(([fingerprint, { weight }]) =>
      weight >= CRASHES_TO_BLAME && !this.#blamed.has(fingerprint)
    );
  }

  /** What another host knows; whether it was news. */
  learn(blame: Blame): boolean {
    const known = this.#blamed.get(blame.fingerprint);
    const isNews = known === undefined || known.crashes < blame.crashes;
    if (isNews) this.#blame(blame);
    return isNews;
  }

  /**
   * Why a request is not to be run now; undefined where it may. Behind its
   * term one run is let through, and others only once that has ended well.
   */
  refusal(fingerprint: string, now: number): Blame | undefined {
    const blame = this.#blamed.get(fingerprint);
    if (blame === undefined) return undefined;
    if (now < blame.endsAt) return blame;
    blame.endsAt = now + TRIAL_MILLISECONDS;
    return undefined;
  }

  /** Whether it is refused now; asks for no trial. */
  isBlamed(fingerprint: string, now: number): boolean {
    const blame = this.#blamed.get(fingerprint);
    return blame !== undefined && now < blame.endsAt;
  }

  /**
   * Whether a host may send it once more of its own accord. The last end that
   * is needed to blame it is left to its client, who may not come again.
   */
  maySendAgain(fingerprint: string): boolean {
    return this.weightOf(fingerprint) < CRASHES_TO_BLAME - 1;
  }

  /** How many ends speak against it, those of what waited by half. */
  weightOf(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.weight ?? 0;
  }

  /** It ran to a good end; whether it was suspected or blamed. */
  clear(fingerprint: string): boolean {
    const wasSuspect = this.#suspects.delete(fingerprint);
    const wasBlamed = this.#blamed.delete(fingerprint);
    return wasSuspect || wasBlamed;
  }

  blames(): Blame[] {
    return [...this.#blamed.values()];
  }

  incarnationsOf(fingerprint: string): string[] {
    return this.#suspects.get(fingerprint)?.incarnations ?? [];
  }

  /** Forgets what is too old to count; called now and then. */
  expire(now: number): void {
    for (const [fingerprint, { reportedAt }] of [...this.#suspects]) {
      const isOld = now - reportedAt > EVIDENCE_MILLISECONDS;
      if (isOld && !this.#blamed.has(fingerprint)) {
        this.#suspects.delete(fingerprint);
      }
    }
    for (const [fingerprint, { endsAt, termMilliseconds }] of this.#blamed) {
      if (now - endsAt > termMilliseconds) this.clear(fingerprint);
    }
  }

  #settledSuspects(now: number): [string, CrashEvidence][] {
    return [...this.#suspects]
      .filter(([fingerprint, { weight, reportedAt }]) =>
        weight >= CRASHES_TO_BLAME &&
        now - reportedAt >= this.#options.settleMilliseconds &&
        !this.#blamed.has(fingerprint)
      )
      .sort(([, left], [, right]) =>
        left.meanBegunMilliseconds - right.meanBegunMilliseconds
      );
  }

  #blame(blame: Blame): void {
    const { fingerprint, incarnations } = blame;
    this.#blamed.delete(fingerprint);
    this.#blamed.set(fingerprint, { ...blame });
    dropOldest(this.#blamed, MOST_BLAMED);
    const all = [...incarnations, ...this.incarnationsOf(fingerprint)];
    for (const incarnation of all) {
      this.#explain(incarnation, fingerprint);
    }
  }

  /** It was still under way, or on trial, somewhere. */
  #blameAgain(blame: Blame, incarnation: string, now: number): void {
    const wasOnTrial = blame.endsAt - now <= TRIAL_MILLISECONDS;
    blame.crashes += 1;
    blame.incarnations = [...blame.incarnations, incarnation].slice(-MOST_TOLD);
    if (wasOnTrial) {
      blame.termMilliseconds = Math.min(
        LONGEST_TERM_MILLISECONDS,
        blame.termMilliseconds * 2,
      );
    }
    blame.endsAt = now + blame.termMilliseconds;
    this.#explain(incarnation, blame.fingerprint);
  }

  #explain(incarnation: string, culprit: string): void {
    this.#explained.set(incarnation, culprit);
    dropOldest(this.#explained, MOST_EXPLAINED);
    for (const [fingerprint, evidence] of [...this.#suspects]) {
      if (fingerprint === culprit) continue;
      evidence.drop(incarnation);
      if (evidence.weight === 0) this.#suspects.delete(fingerprint);
    }
  }

  #evidenceOf(fingerprint: string): CrashEvidence {
    const known = this.#suspects.get(fingerprint);
    const evidence = known ?? new CrashEvidence();
    // Set anew, it is the latest, and the last to make room for others.
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, evidence);
    dropOldest(this.#suspects, MOST_SUSPECTS);
    return evidence;
  }
}

function dropOldest(entries: Map<string, unknown>, most: number): void {
  if (entries.size <= most) return;
  entries.delete(entries.keys().next().value!);
}
