import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import { isKept } from "@teaselrouter/core/departures/is_kept.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Many servers of one service can leave at once. */
const BATCH_MILLISECONDS = 5;
const MAX_BATCH_DEPARTURES = 256;

type DepartureAnswer = "accepted" | "unavailable";

/** Undefined if the outcome isn't known in time. */
type Committed = { answer: CommandResult | undefined } | undefined;

type Options = {
  /** The replicated state as far as this host has applied it. */
  state: () => Pick<ControlState, "departures"> | undefined;
  commit: (
    command: CommandOf<"record-departures">,
    deadline: number,
  ) => Promise<Committed>;
  log: EventLog;
  /** Time in which a caller needs its answer. */
  answerMilliseconds: number;
};

type Batch = { departures: Departure[]; committed: Promise<Committed> };

/**
 * Answers backend servers that leave, once the log has it. A leaving is said
 * once, and this host may lose power right after its answer: a server that is
 * told so serves on for a bounded time only.
 */
export class DepartureRecorder {
  #options: Options;
  /** Takes in what is told until it is proposed. */
  #batch: Batch | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * @param leavingSince sequence from which on the backend server has said the
   * same; the departure's own if it says so for the first time
   */
  async record(
    departure: Departure,
    leavingSince = departure.sequence,
  ): Promise<DepartureAnswer> {
    const startedAt = monotonicMilliseconds();
    const { instance, state, sequence, bornAt } = departure;
    const row = this.#options.state()?.departures.get(instance);
    if (isKept(row, { bornAt, sequence: leavingSince })) return "accepted";
    const committed = await this.#addToBatch(departure);
    const outcome = committed === undefined ? "unavailable" : "accepted";
    this.#options.log.info("departure-answered", {
      instance,
      state,
      sequence,
      start_known: bornAt !== undefined,
      outcome,
      index: committed?.answer?.value,
      milliseconds: Math.round(monotonicMilliseconds() - startedAt),
    });
    return outcome;
  }

  #addToBatch(departure: Departure): Promise<Committed> {
    if (
      (this.#batch?.departures.length ?? MAX_BATCH_DEPARTURES) >=
        MAX_BATCH_DEPARTURES
    ) {
      this.#batch = this.#startBatch();
    }
    this.#batch!.departures.push(departure);
    return this.#batch!.committed;
  }

  #startBatch(): Batch {
    const { commit, answerMilliseconds } = this.#options;
    const deadline = monotonicMilliseconds() + answerMilliseconds;
    const departures: Departure[] = [];
    const committed = (async () => {
      await new Promise((resolve) => setTimeout(resolve, BATCH_MILLISECONDS));
      if (this.#batch?.departures === departures) this.#batch = undefined;
      return await commit({
        kind: "record-departures",
        departures: departures.map(({ at: _at, ...rest }) => rest),
        at: 0,
      }, deadline);
    })();
    return { departures, committed };
  }
}
