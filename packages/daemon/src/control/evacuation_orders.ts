import { isDataCentreName } from "@teaselrouter/core/evacuations/is_data_centre_name.ts";
import type { CommandOf } from "@teaselrouter/core/state/command_of.ts";
import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { EventLog } from "../log/event_log.ts";
import { nextTurn } from "../transport/next_turn.ts";
import { sleep } from "../transport/sleep.ts";
import type { EvacuationAnswer } from "./evacuation_answer.ts";

/** Several round trips between two data centres. */
const CLOSE_MILLISECONDS = 50;

type Options = {
  /** The replicated state as far as this host has applied it. */
  state: () => Pick<ControlState, "evacuations"> | undefined;
  /** Whether the state holds all that was committed when this host started. */
  isCurrent: () => boolean;
  /** Names that orders may have; any if there are none. */
  listedDataCentres: () => readonly string[];
  /** Data centres that hosts or backend servers are in. */
  seenDataCentres: () => ReadonlySet<string>;
  /** The state machine's answer; undefined if it is not known in time. */
  execute: (
    command: CommandOf<"order-evacuation">,
    deadline: number,
  ) => Promise<CommandResult | undefined>;
  log: EventLog;
};

type Order = {
  dataCentre: string;
  isEvacuated: boolean;
  /** Whether the caller's connection is still open. */
  isWaiting: () => boolean;
  /** Monotonic milliseconds. */
  deadline: number;
};

/**
 * Executes operators' orders to evacuate a data centre and to end that. An
 * order takes effect only as long as its caller waits for it; see
 * `applyEvacuationOrder` for what is still on its way when the caller leaves.
 */
export class EvacuationOrders {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  async handle(order: Order): Promise<EvacuationAnswer> {
    const answer = await this.#decide(order);
    this.#options.log.info("evacuation-order", {
      data_centre: order.dataCentre,
      order: order.isEvacuated ? "begin" : "end",
      outcome: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    return answer;
  }

  async #decide(order: Order): Promise<EvacuationAnswer> {
    const { dataCentre, isWaiting } = order;
    if (!isDataCentreName(dataCentre)) {
      return { kind: "invalid", detail: "no data centre can have this name" };
    }
    const { state, isCurrent } = this.#options;
    if (!isCurrent() || state() === undefined) return { kind: "unavailable" };
    if (!this.#isKnown(dataCentre)) {
      return {
        kind: "unknown-data-centre",
        detail: `no data centre "${dataCentre}"`,
      };
    }
    const number = state()!.evacuations.get(dataCentre)?.number ?? 0;
    await waitForClosedConnection();
    return isWaiting()
      ? await this.#execute(order, number)
      : { kind: "unavailable" };
  }

  /** Proposes the order, again if another one was committed before it. */
  async #execute(order: Order, number: number): Promise<EvacuationAnswer> {
    const { dataCentre, isEvacuated, isWaiting, deadline } = order;
    let expected = number;
    while (true) {
      const result = await this.#options.execute({
        kind: "order-evacuation",
        dataCentre,
        isEvacuated,
        expected,
        at: 0,
      }, deadline);
      if (result?.accepted) return { kind: "accepted" };
      const isSuperseded = result?.reason === "superseded";
      if (result !== undefined && !isSuperseded) {
        return { kind: "invalid", detail: result.reason ?? "refused" };
      }
      if (result === undefined || !isWaiting()) return { kind: "unavailable" };
      expected = Number(result.value);
    }
  }

  #isKnown(dataCentre: string): boolean {
    const { state, listedDataCentres, seenDataCentres } = this.#options;
    const listed = listedDataCentres();
    return listed.length === 0 || listed.includes(dataCentre) ||
      state()!.evacuations.has(dataCentre) || seenDataCentres().has(dataCentre);
  }
}

/**
 * Waits until the end of a caller's connection has been read, if it came with
 * the order or, on a link that loses packets, a round trip later.
 */
async function waitForClosedConnection(): Promise<void> {
  await sleep(CLOSE_MILLISECONDS);
  // A process that was frozen handles its timers before it reads its sockets.
  await nextTurn();
  await nextTurn();
}
