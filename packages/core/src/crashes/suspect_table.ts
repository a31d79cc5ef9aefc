import { CrashEvidence } from "./crash_evidence.ts";
import type { CrashReport } from "./crash_report.ts";
import type { CrashScene } from "./crash_scene.ts";
import { nameParts } from "./name_parts.ts";
import { parsePartNames } from "./parse_part_names.ts";
import { selectYoungest } from "./select_youngest.ts";
import type { Suspect } from "./suspect.ts";

/**
 * How long after its latest crash a suspect that is not blamed stays suspected:
 * older crashes say nothing about it.
 */
const EVIDENCE_RETENTION_MILLISECONDS = 600_000;
const MAX_SUSPECTS = 4_096;
/** Suspects looked at for one to evict, from the oldest on. */
const MAX_EVICTION_CANDIDATES = 64;
const MAX_SCENES = 1_024;
const MAX_REQUESTS_PER_SCENE = 256;
/** Fewer crashes make the first choice for an eviction. */
const CRASHES_TO_KEEP = 2;

/**
 * What is gathered on requests and prompt parts: the crashes at which they were
 * in flight. Bounded under a flood of either, without losing those that come
 * again.
 */
export class SuspectTable {
  /** By name; the most recently reported suspect is last. */
  #requests = new Map<string, CrashEvidence>();
  #parts = new Map<string, CrashEvidence>();
  /** By incarnation. */
  #scenes = new Map<string, CrashScene>();

  get size(): number {
    return this.#requests.size + this.#parts.size;
  }

  get partCount(): number {
    return this.#parts.size;
  }

  find(name: string): CrashEvidence | undefined {
    return this.#requests.get(name) ?? this.#parts.get(name);
  }

  list(): Suspect[] {
    return [...this.#requests, ...this.#parts]
      .map(([name, evidence]) => ({ name, evidence }));
  }

  listParts(): Suspect[] {
    return [...this.#parts].map(([name, evidence]) => ({ name, evidence }));
  }

  requestNames(): Iterable<string> {
    return this.#requests.keys();
  }

  /** The names of the suspects for which the report is new evidence. */
  add(report: CrashReport, now: number): string[] {
    for (const scene of this.#scenes.values()) {
      if (scene.knownAt === Infinity) scene.knownAt = now;
    }
    return this.#add(report, { now, knownAt: now });
  }

  /** As `add`, for a report from before this process started. */
  restore(report: CrashReport, now: number): string[] {
    return this.#add(report, { now, knownAt: Infinity });
  }

  #add(
    report: CrashReport,
    { now, knownAt }: { now: number; knownAt: number },
  ): string[] {
    const { fingerprint, parts = [] } = report;
    const scene = this.#recordScene(report, { now, knownAt });
    const request = refresh(this.#requests, fingerprint, "request");
    const added = request.add(report, scene, now) ? [fingerprint] : [];
    for (const part of parts) {
      const name = nameParts([part]);
      const evidence = refresh(this.#parts, name, "part");
      if (evidence.add(report, scene, now)) added.push(name);
    }
    return added;
  }

  #recordScene(
    report: CrashReport,
    { now, knownAt }: { now: number; knownAt: number },
  ): CrashScene {
    const { fingerprint, incarnation, parts = [] } = report;
    const scene = this.#scenes.get(incarnation) ??
      {
        at: report.crashedAt ?? now,
        knownAt,
        sentMilliseconds: new Map(),
        hasParts: false,
        youngest: [],
      };
    this.#scenes.set(incarnation, scene);
    if (this.#scenes.size > MAX_SCENES) {
      this.#scenes.delete(this.#scenes.keys().next().value!);
    }
    const ages = scene.sentMilliseconds;
    scene.hasParts ||= parts.length > 0;
    if (ages.size < MAX_REQUESTS_PER_SCENE) {
      const { sentMilliseconds, begunMilliseconds } = report;
      ages.set(fingerprint, sentMilliseconds ?? begunMilliseconds ?? NaN);
    }
    scene.youngest = selectYoungest([...scene.youngest, report]);
    return scene;
  }

  /** All crashes known, by incarnation. */
  get scenes(): ReadonlyMap<string, CrashScene> {
    return this.#scenes;
  }

  /**
   * Number of crashes at a time or later, but for those left out, at which
   * requests with prompt parts were in flight, and of all requests there.
   */
  countSince(
    time: number,
    leftOut: readonly string[],
  ): { crashes: number; requests: number } {
    const sizes = [...this.#scenes]
      .filter(([incarnation, { at, hasParts }]) =>
        at >= time && hasParts && !leftOut.includes(incarnation)
      )
      .map(([, { sentMilliseconds }]) => sentMilliseconds.size);
    return {
      crashes: sizes.length,
      requests: sizes.reduce((sum, size) => sum + size, 0),
    };
  }

  delete(name: string): boolean {
    return this.#requests.delete(name) || this.#parts.delete(name);
  }

  /** The crash doesn't count against what the report names, but for `exempt`. */
  excludeReport(
    { fingerprint, parts = [], incarnation }: CrashReport,
    exempt: string,
  ): void {
    const names = [fingerprint, ...parts.map((part) => nameParts([part]))];
    for (const name of names) {
      if (name !== exempt) this.#exclude(name, incarnation, exempt);
    }
  }

  /** The crashes no longer count against any but the named suspect. */
  excludeCrashes(incarnations: string[], exempt: string): void {
    for (const { name } of this.list()) {
      if (name === exempt) continue;
      for (const incarnation of incarnations) {
        this.#exclude(name, incarnation, exempt);
      }
    }
  }

  #exclude(name: string, incarnation: string, culprit: string): void {
    const evidence = this.find(name);
    if (evidence?.kind === "request") {
      return evidence.exclude(incarnation, { isShared: false });
    }
    const requests = evidence?.requestsAt(incarnation) ?? new Set();
    const ofCulprit = this.#requestsOf(culprit, incarnation);
    const isShared = ofCulprit.some((request) => requests.has(request));
    // What stood beside the culprit in other requests may be harmful as well, but
    // for one request that was sent again and again.
    const isRepeated = evidence?.isRepeatedAt(incarnation) ?? false;
    if (isShared || isRepeated) evidence?.exclude(incarnation, { isShared });
  }

  /** Requests that a culprit, a request or parts, stands for at a crash. */
  #requestsOf(culprit: string, incarnation: string): string[] {
    const parts = parsePartNames(culprit);
    if (parts === undefined) return [culprit];
    const [first] = parts;
    const evidence = this.#parts.get(nameParts([first!]));
    return [...evidence?.requestsAt(incarnation) ?? []];
  }

  /** The crashes count against all suspects again. */
  includeCrashes(incarnations: string[]): void {
    for (const { evidence } of this.list()) {
      for (const incarnation of incarnations) evidence.include(incarnation);
    }
  }

  /**
   * Drops suspects without a new crash for `EVIDENCE_RETENTION_MILLISECONDS`,
   * 10 minutes, unless `isKept`.
   */
  expire(now: number, isKept: (name: string) => boolean): void {
    for (const { name, evidence } of this.list()) {
      const age = now - evidence.lastReportedAt;
      const isOld = age > EVIDENCE_RETENTION_MILLISECONDS;
      if (isOld && !isKept(name)) this.delete(name);
    }
  }
}

/** Reinserted as the latest, the suspect is the last to be evicted. */
function refresh(
  suspects: Map<string, CrashEvidence>,
  name: string,
  kind: "request" | "part",
): CrashEvidence {
  const evidence = suspects.get(name) ?? new CrashEvidence(kind);
  suspects.delete(name);
  suspects.set(name, evidence);
  if (suspects.size > MAX_SUSPECTS) suspects.delete(chooseEvicted(suspects));
  return evidence;
}

/** The oldest suspect, but rather one that was at a single crash. */
function chooseEvicted(suspects: Map<string, CrashEvidence>): string {
  let candidates = 0;
  for (const [name, { incarnations }] of suspects) {
    if (incarnations.length < CRASHES_TO_KEEP) return name;
    candidates += 1;
    if (candidates >= MAX_EVICTION_CANDIDATES) break;
  }
  return suspects.keys().next().value!;
}
