import { compareByAnswerStart } from "./compare_by_answer_start.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { Culprit } from "./culprit.ts";
import { nameParts } from "./name_parts.ts";
import { parsePartNames } from "./parse_part_names.ts";
import type { Suspect } from "./suspect.ts";

/** Times to a crash vary by less for a culprit. */
const BYSTANDER_RATIO = 1.5;

type Options = {
  /** Suspects with sufficient evidence. */
  decidable: Suspect[];
  /** All suspects. */
  suspects: Suspect[];
  /** Whether the decision on an indistinguishable suspect can be deferred. */
  mayWait: (suspect: Suspect) => boolean;
  /** Whether there is a blame of that name. */
  isBlamed: (name: string) => boolean;
};

/**
 * Chooses who is blamed for crashes when distinct requests share a prompt part
 * that crashes backend servers.
 *
 * A dozen other requests are in flight at each crash, and the parts that harmful
 * and harmless requests share are in flight at all crashes. Good ends clear
 * a part of earlier crashes. Of the remaining suspects:
 * - of the requests, the one whose answers had started the shortest time before
 *   the crashes is the likeliest; of the parts, the one that explains most
 *   crashes, then the one that few requests there held;
 * - a request precedes its parts, unless it is a bystander;
 * - parts of the same requests at the same crashes are indistinguishable. Only
 *   requests with all of them are refused, so that no harmless request is, until
 *   a crash or a good end involves some of them only.
 */
export function findCulprit(options: Options): Culprit | undefined {
  const { decidable, suspects, mayWait } = options;
  const [request] = decidable.filter(({ evidence }) =>
    evidence.kind === "request"
  ).sort(compareByAnswerStart);
  const parts = decidable.filter(({ evidence }) => evidence.kind === "part")
    .sort((left, right) =>
      right.evidence.incarnations.length - left.evidence.incarnations.length ||
      left.evidence.meanRequests - right.evidence.meanRequests ||
      compareByAnswerStart(left, right)
    );
  if (request !== undefined) {
    const isBystander = isExplainedBy(request, parts) ||
      isBystanderOf(request, parts) ||
      isBystanderOf(request, suspects.filter(isSuspectedPart)) &&
        mayWait(request);
    if (!isBystander) return nameCulprit(request.name, request);
  }
  for (const part of parts) {
    const culprit = describeCulprit(part, options);
    if (culprit !== undefined && !options.isBlamed(culprit.name)) {
      return culprit;
    }
  }
  return undefined;
}

function isSuspectedPart({ evidence }: Suspect): boolean {
  return evidence.kind === "part" && evidence.weight >= CRASHES_TO_BLAME;
}

/** Whether one of the parts was at all of a request's crashes, and at others. */
function isExplainedBy({ evidence }: Suspect, parts: Suspect[]): boolean {
  const { incarnations } = evidence;
  return parts.some((part) =>
    part.evidence.incarnations.length > incarnations.length &&
    isAtAll(part, incarnations)
  );
}

/**
 * Whether at the request's crashes answers with one of the parts had started
 * much later than the request's.
 */
function isBystanderOf({ evidence }: Suspect, parts: Suspect[]): boolean {
  const { incarnations, meanMillisecondsFromAnswerStart } = evidence;
  return parts.some((part) =>
    meanMillisecondsFromAnswerStart >
      part.evidence.meanMillisecondsFromAnswerStart * BYSTANDER_RATIO &&
    isAtAll(part, incarnations)
  );
}

function describeCulprit(
  part: Suspect,
  { suspects, mayWait }: Options,
): Culprit | undefined {
  const { incarnations } = part.evidence;
  const equals = suspects.filter((other) => isAtAll(other, incarnations));
  const companions = equals.filter((other) =>
    sharesRequests([part, other], incarnations)
  );
  const request = companions.find(({ evidence }) =>
    evidence.kind === "request"
  );
  if (request !== undefined) return nameCulprit(request.name, part);
  const isClear = companions.length === equals.length &&
    sharesRequests(companions, incarnations) &&
    !isCoveredByOthers(incarnations, suspects);
  if (!isClear && mayWait(part)) return undefined;
  const parts = chooseParts(part, companions, incarnations);
  const names = parts.flatMap(({ name }) => parsePartNames(name)!);
  return nameCulprit(nameParts(names), part);
}

function nameCulprit(name: string, { evidence }: Suspect): Culprit {
  const { incarnations, lastCrashAt } = evidence;
  return { name, incarnations, lastCrashAt };
}

/**
 * Whether parts that were at some of the crashes each, with sufficient evidence,
 * explain all of them together.
 */
function isCoveredByOthers(
  incarnations: string[],
  suspects: Suspect[],
): boolean {
  const all = new Set(incarnations);
  const explained = new Set(
    suspects
      .filter(isSuspectedPart)
      .filter(({ evidence }) =>
        evidence.incarnations.length < all.size &&
        evidence.incarnations.every((incarnation) => all.has(incarnation))
      )
      .flatMap(({ evidence }) => evidence.incarnations),
  );
  return explained.size === all.size;
}

/** Whether the crashes all count against a suspect. */
function isAtAll({ evidence }: Suspect, incarnations: string[]): boolean {
  const counted = new Set(evidence.incarnations);
  return incarnations.every((incarnation) => counted.has(incarnation));
}

/** Whether at each crash some request stood for all of the suspects. */
function sharesRequests(
  suspects: Suspect[],
  incarnations: string[],
): boolean {
  return incarnations.every((incarnation) => {
    const [first, ...others] = suspects.map(({ evidence }) =>
      evidence.requestsAt(incarnation)
    );
    return [...first!].some((request) =>
      others.every((requests) => requests.has(request))
    );
  });
}

/**
 * The suspect with all of its companions that were in one request with it at
 * each crash, the likeliest culprits first. Without one of them, the blame could
 * leave out the culprit, and refuse harmless requests with all the others.
 */
function chooseParts(
  suspect: Suspect,
  companions: Suspect[],
  incarnations: string[],
): Suspect[] {
  const chosen = [suspect];
  for (const companion of companions.toSorted(compareByAnswerStart)) {
    if (companion.name === suspect.name) continue;
    const extended = [...chosen, companion];
    if (sharesRequests(extended, incarnations)) chosen.push(companion);
  }
  return chosen;
}
