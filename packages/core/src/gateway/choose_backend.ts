import type { BackendChoice } from "./backend_choice.ts";
import type { EngineDefinition } from "./engine_definition.ts";

type Request = {
  dataCentre: string;
  promptTokens: number;
  engine: EngineDefinition | undefined;
  /** Instances that this host sends to first. */
  home: ReadonlySet<string>;
  /** Uniform in [0, 1). */
  random: () => number;
  now: number;
};

/**
 * What crossing to another data centre weighs, as a part of a backend
 * server's slots: crossing costs bytes and a few milliseconds, so that only
 * a clearly emptier backend server is worth it.
 */
const CROSSING_WEIGHT = 0.4;
/**
 * What another near backend server weighs beside those that are sent to
 * first, as a part of its slots: less is within the error of what is told.
 */
const AWAY_WEIGHT = 0.15;
/** Waiting for a slot is worse than crossing to a free one. */
const FULL_WEIGHT = 0.25;
/**
 * Prompts that take so long to read weigh as much as all slots taken: a third
 * of the time in which first events are due, and no other request of the
 * engine goes on meanwhile.
 */
const READING_MILLISECONDS = 120;
/** Breaks ties between hosts that see the same. */
const NOISE_WEIGHT = 0.1;
/** Backend servers that are compared for one request in a data centre. */
const COMPARED = 2;
/** A cold backend server counts as so much fuller. */
const COLD_WEIGHT = 0.3;

/**
 * The emptiest, by their slots, of the few near backend servers that this host
 * sends to first, of two others drawn at random here, and of two drawn
 * elsewhere. Prompts that are still to be read count as what they hold up: an
 * engine reads a prompt between the steps of all its requests.
 *
 * Pattern: many hosts know the same loads, a moment old. Compared among all,
 * the emptiest backend server gets what all of them send in that moment, and
 * is the fullest in the next; of two at random it gets a fair part of it.
 */
export function chooseBackend(
  choices: BackendChoice[],
  request: Request,
): BackendChoice | undefined {
  const isNear = ({ standing }: BackendChoice) =>
    standing.dataCentre === request.dataCentre;
  const isHome = ({ standing }: BackendChoice) =>
    request.home.has(standing.instance);
  const home = choices.filter(isHome);
  const near = choices.filter((choice) => isNear(choice) && !isHome(choice));
  const far = choices.filter((choice) => !isNear(choice));
  const compared = [
    ...home,
    ...draw(near, request),
    ...draw(far, request),
  ];
  let best: BackendChoice | undefined;
  let least = Infinity;
  for (const choice of compared) {
    const cost = costOf(choice, request);
    if (cost < least) [best, least] = [choice, cost];
  }
  return best;
}

function draw(choices: BackendChoice[], { random }: Request): BackendChoice[] {
  const left = [...choices];
  while (left.length > COMPARED) {
    left.splice(Math.floor(random() * left.length), 1);
  }
  return left;
}

function costOf(choice: BackendChoice, request: Request): number {
  const { standing, record } = choice;
  const { dataCentre, engine, home, random, now } = request;
  const slots = Math.max(1, standing.slots);
  const fullness = record.estimateRequests(now) / slots;
  const full = fullness >= 1 ? FULL_WEIGHT : 0;
  const isNear = standing.dataCentre === dataCentre;
  const isHome = home.has(standing.instance);
  const way = !isNear ? CROSSING_WEIGHT : isHome ? 0 : AWAY_WEIGHT;
  const cold = standing.coldMilliseconds > 0 ? COLD_WEIGHT : 0;
  const reading = readingMilliseconds(choice, engine) / READING_MILLISECONDS;
  return fullness + full + way + cold + reading + NOISE_WEIGHT * random();
}

/** What this host's own prompts still take that it sent there. */
function readingMilliseconds(
  { record }: BackendChoice,
  engine: EngineDefinition | undefined,
): number {
  if (engine === undefined || engine.readTokensPerSecond === 0) return 0;
  return 1_000 * record.unreadTokens / engine.readTokensPerSecond;
}
