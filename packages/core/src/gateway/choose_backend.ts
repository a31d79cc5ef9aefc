import type { BackendCandidate } from "./backend_candidate.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import type { LoadEstimate } from "./load_estimate.ts";
import { ReportedLoadEstimate } from "./reported_load_estimate.ts";
import { RevertingLoadEstimate } from "./reverting_load_estimate.ts";

type Request = {
  dataCentre: string;
  /** Counts only by how slow a candidate is: it is the same for all. */
  promptTokens: number;
  engine: EngineDefinition | undefined;
  /** Instances of the home backend servers, which this host prefers. */
  home: ReadonlySet<string>;
  /** Uniform in [0, 1). */
  random: () => number;
  /** As reported if not given; not used for engines that report their pace. */
  load?: LoadEstimate;
  now: number;
};

const REPORTED_LOAD = new ReportedLoadEstimate();
/** Fleets whose pace varies run with nearly all slots in use. */
const PACED_LOAD = new RevertingLoadEstimate();

/** Costs of a backend server as fractions of its slots. */
const USUAL_COSTS = {
  /**
   * Crossing costs bandwidth and a few milliseconds, so only a clearly less
   * loaded backend server is worth it.
   */
  otherDataCentre: 0.4,
  /** Smaller load differences are within the error of the load reports. */
  notHome: 0.15,
  /** Waiting for a slot is worse than using a free one elsewhere. */
  noFreeSlot: 0.25,
};
/**
 * The same for engines whose pace changes from moment to moment: how it is now
 * is known only of those that have streams of this host.
 */
const PACED_COSTS = { otherDataCentre: 0.5, notHome: 0.45, noFreeSlot: 0.5 };
/**
 * A request that meets a slow moment is likely to be late, and holds up those
 * beside it, which costs more than its own delay.
 */
const SLOWNESS_WEIGHT = 3;
/** Cost of each usual time that a request without an engine takes longer. */
const PLAIN_REQUEST_COST = 0.15;
/**
 * Prompts that take this long to prefill cost as much as all slots in use. The
 * value is a third of the target time to the first event; during prefill the
 * engine's other requests make no progress.
 */
const PREFILL_MILLISECONDS_PER_UNIT_COST = 120;
/**
 * Upper bound of the random cost, which makes hosts that see the same loads
 * choose differently.
 */
const MAX_RANDOM_COST = 0.1;
/**
 * Backend servers picked at random for a request from the local ones that are
 * not home backend servers, and as many from the other data centres.
 */
const SAMPLE_SIZE = 2;
/**
 * Cost of a backend server that still runs slowly after its start, as a
 * fraction of its slots.
 */
const COLD_START_COST = 0.3;

/**
 * Chooses the backend server with the lowest cost among the preferred ones,
 * usually the home backend servers, two other local ones, and two picked at random from
 * other data centres; undefined if there are no candidates. The cost is the
 * load relative to the slots plus penalties. Pending prompts add to it because
 * an engine prefills a prompt between the decoding steps of all its requests,
 * and so delays all of them.
 *
 * Comparing only a random sample prevents herding: many hosts act on the same
 * slightly stale loads. If each compared all backend servers, all hosts would
 * send to the least loaded one at the same moment and make it the most loaded
 * one in the next. With two at random it gets a fair share of the requests.
 */
export function chooseBackend(
  candidates: BackendCandidate[],
  request: Request,
): BackendCandidate | undefined {
  const isLocal = ({ announcement }: BackendCandidate) =>
    announcement.dataCentre === request.dataCentre;
  const preferred: BackendCandidate[] = [];
  const local: BackendCandidate[] = [];
  const remote: BackendCandidate[] = [];
  for (const candidate of candidates) {
    if (!isLocal(candidate)) remote.push(candidate);
    else if (isPreferred(candidate, request)) preferred.push(candidate);
    else local.push(candidate);
  }
  const sampled = [
    ...preferred,
    ...sampleBackends(local, request),
    ...sampleBackends(remote, request),
  ];
  let cheapest: BackendCandidate | undefined;
  let lowestCost = Infinity;
  for (const candidate of sampled) {
    const cost = computeCost(candidate, request);
    if (cost < lowestCost) [cheapest, lowestCost] = [candidate, cost];
  }
  return cheapest;
}

function isPaced(
  { record }: BackendCandidate,
  { engine }: Request,
): boolean {
  return engine !== undefined && record.pace.serviceMean !== undefined;
}

/**
 * Whether it is a home backend server or, where the pace changes from moment to
 * moment, has requests of this host, by which its pace now is known.
 */
function isPreferred(candidate: BackendCandidate, request: Request): boolean {
  const { announcement, record } = candidate;
  return request.home.has(announcement.instance) ||
    record.inFlight > 0 && isPaced(candidate, request);
}

function sampleBackends(
  candidates: BackendCandidate[],
  { random }: Request,
): BackendCandidate[] {
  const sample = [...candidates];
  while (sample.length > SAMPLE_SIZE) {
    sample.splice(Math.floor(random() * sample.length), 1);
  }
  return sample;
}

function computeCost(candidate: BackendCandidate, request: Request): number {
  const { announcement, record } = candidate;
  const { dataCentre, engine, random, now } = request;
  const slots = Math.max(1, announcement.slots);
  const [costs, load] = isPaced(candidate, request)
    ? [PACED_COSTS, PACED_LOAD]
    : [USUAL_COSTS, request.load ?? REPORTED_LOAD];
  const utilization = load.estimate(record, now) / slots;
  const noFreeSlotCost = utilization >= 1 ? costs.noFreeSlot : 0;
  const isLocal = announcement.dataCentre === dataCentre;
  const localityCost = !isLocal
    ? costs.otherDataCentre
    : isPreferred(candidate, request)
    ? 0
    : costs.notHome;
  const coldCost = announcement.coldMilliseconds > 0 ? COLD_START_COST : 0;
  const prefillCost = estimatePrefillMilliseconds(candidate, engine) /
    PREFILL_MILLISECONDS_PER_UNIT_COST;
  return utilization + noFreeSlotCost + localityCost + coldCost + prefillCost +
    MAX_RANDOM_COST * random() +
    computeSlownessCost(candidate, request, prefillCost);
}

/**
 * Cost of what a backend server is slower than usual now, by the time until the
 * request's first event there.
 */
function computeSlownessCost(
  { record }: BackendCandidate,
  { engine, promptTokens, now }: Request,
  prefillCost: number,
): number {
  const excess = record.estimateSlowdown(engine, now) - 1;
  if (excess === 0) return 0;
  if (engine === undefined) return excess * PLAIN_REQUEST_COST;
  const passMilliseconds = engine.stepMilliseconds * engine.stepsPerPass;
  const ownCost =
    (passMilliseconds + prefillMilliseconds(promptTokens, engine)) /
    PREFILL_MILLISECONDS_PER_UNIT_COST;
  return SLOWNESS_WEIGHT * excess * (ownCost + prefillCost);
}

/**
 * Time to prefill the prompts that this host has sent to the backend server
 * and that have no response yet, milliseconds.
 */
function estimatePrefillMilliseconds(
  { record }: BackendCandidate,
  engine: EngineDefinition | undefined,
): number {
  if (engine === undefined) return 0;
  return prefillMilliseconds(record.pendingPromptTokens, engine);
}

function prefillMilliseconds(
  tokens: number,
  { readTokensPerSecond }: EngineDefinition,
): number {
  return readTokensPerSecond === 0 ? 0 : 1_000 * tokens / readTokensPerSecond;
}
