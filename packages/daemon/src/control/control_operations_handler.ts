import { findAnnouncementFault } from "@teaselrouter/core/membership/find_announcement_fault.ts";
import { findConfigurationError } from "@teaselrouter/core/gateway/find_configuration_error.ts";
import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import { LAST_SEQUENCE } from "@teaselrouter/core/departures/last_sequence.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import {
  FollowService,
  ForwardOutcome,
  type ForwardResponse,
} from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import type { RoutingDecoder } from "../platform/routing_decoder.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import type { ControlHost } from "./control_host.ts";
import type { ControlOperations } from "./control_operations.ts";
import { decodeForwardResponse } from "./decode_forward_response.ts";
import { DepartureRecorder } from "./departure_recorder.ts";
import { encodeForwardResponse } from "./encode_forward_response.ts";
import { EvacuationOrders } from "./evacuation_orders.ts";
import type { ExecutionResult } from "./execution_result.ts";
import type { SharedView } from "./shared_view.ts";

/**
 * Callers try the next host after 1 s. This deadline leaves time for an
 * `unavailable` answer to reach them.
 */
const ANSWER_DEADLINE_MILLISECONDS = 850;
const NO_LEADER_RETRY_MILLISECONDS = 25;
/** With less time left, a forwarded call can't return before the deadline. */
const MIN_FORWARD_MILLISECONDS = 20;

type Options = {
  control: () => ControlHost | undefined;
  leaderAddress: () => string;
  selfAddress: string;
  view: SharedView;
  clients: ClientPool;
  log: EventLog;
  decodeRouting: RoutingDecoder;
  /** Data centres in the settings; none if any may be evacuated. */
  listedDataCentres: () => readonly string[];
};

/**
 * Handles the calls of operators and backend servers on a control host.
 * Executes commands here or forwards them to the leader.
 */
export class ControlOperationsHandler implements ControlOperations {
  #options: Options;
  #evacuations: EvacuationOrders;
  #departures: DepartureRecorder;

  constructor(options: Options) {
    const { control, view, log, listedDataCentres } = options;
    this.#options = options;
    this.#evacuations = new EvacuationOrders({
      state: () => control()?.state,
      isCurrent: () => view.isCurrent,
      listedDataCentres,
      seenDataCentres: () => this.#seenDataCentres(),
      execute: async (command, deadline) =>
        (await this.#execute(command, deadline))?.answer,
      log,
    });
    this.#departures = new DepartureRecorder({
      state: () => control()?.state,
      commit: (command, deadline) => this.#execute(command, deadline),
      log,
      answerMilliseconds: ANSWER_DEADLINE_MILLISECONDS,
    });
  }

  async replaceRouting(document: string) {
    const { decodeRouting, log } = this.#options;
    const decoded = decodeRouting(document);
    if (decoded.isErr) return this.#rejectRouting(decoded.error);
    const { version } = decoded.value;
    const fault = findConfigurationError(decoded.value);
    if (fault !== undefined) {
      return this.#rejectRouting(`${fault.field}: ${fault.detail}`);
    }
    // The applied routing is committed, so a repeated older change is
    // acknowledged without asking the leader.
    const currentVersion = this.#appliedRouting?.version ?? -1;
    const done = version <= currentVersion ||
      (await this.#execute({ kind: "replace-routing", version, document })) !==
        undefined;
    log.info("routing-change", {
      version,
      standing: currentVersion,
      outcome: done ? "accepted" : "unknown",
    });
    return done
      ? { kind: "accepted" as const }
      : { kind: "unavailable" as const };
  }

  async readRouting() {
    const done = await this.#execute(undefined);
    if (done === undefined) return { kind: "unavailable" as const };
    return done.routing === undefined
      ? { kind: "none" as const }
      : { kind: "document" as const, document: done.routing.document };
  }

  async nameWeights(named: { model: string; version: number }) {
    const { control, log } = this.#options;
    const known = control()?.state.namedWeights.get(named.model)?.version ?? 0;
    const done = named.version <= known ||
      (await this.#execute({ kind: "name-weights", ...named, at: 0 })) !==
        undefined;
    log.info("weights-named", {
      ...named,
      outcome: done ? "accepted" : "unknown",
    });
    return done ? "accepted" as const : "unavailable" as const;
  }

  orderEvacuation(
    order: Parameters<ControlOperations["orderEvacuation"]>[0],
  ) {
    const deadline = monotonicMilliseconds() + ANSWER_DEADLINE_MILLISECONDS;
    return this.#evacuations.handle({ ...order, deadline });
  }

  /**
   * Commits a command. Returns false if this did not succeed within 850 ms; it
   * may be committed later.
   */
  async commit(command: Command): Promise<boolean> {
    return await this.#execute(command) !== undefined;
  }

  async recordAnnouncement(announcement: BackendAnnouncement) {
    const fault = findAnnouncementFault(announcement);
    if (fault !== undefined) {
      const what = `heartbeat of ${announcement.instance}`;
      this.logUnreadable(what, `its ${fault} can't be right`);
      return "invalid" as const;
    }
    const { view } = this.#options;
    view.addLocalAnnouncement(announcement);
    const { instance, bornAt, sequence, state } = announcement;
    if (state === "ready") return "accepted" as const;
    const departure = { instance, bornAt, sequence, state, at: Date.now() };
    const leavingSince = view.leavingSince(instance) ?? sequence;
    if (leavingSince === sequence) view.addOwnDepartures([departure], "heard");
    return await this.#departures.record(departure, leavingSince);
  }

  async recordEnd(instance: string) {
    const { view } = this.#options;
    const departure: Departure = {
      instance,
      bornAt: view.findBackend(instance)?.bornAt,
      sequence: LAST_SEQUENCE,
      state: "gone",
      at: Date.now(),
    };
    view.addOwnDepartures([departure], "heard");
    return await this.#departures.record(departure);
  }

  logUnreadable(what: string, detail: string): void {
    this.#options.log.warn("unreadable", { what, detail });
  }

  /**
   * Executes a command, or for no bytes a read, that another control host
   * forwarded. Answers NOT_LEADING unless this host leads.
   */
  async handleForwarded(bytes: Uint8Array): Promise<ForwardResponse> {
    const command = bytes.length === 0
      ? undefined
      : JSON.parse(new TextDecoder().decode(bytes)) as Command;
    return encodeForwardResponse(await this.#executeLocally(command));
  }

  #seenDataCentres(): ReadonlySet<string> {
    const { control, view } = this.#options;
    const members = control()?.node.membership.members ?? [];
    return new Set(
      [...members, ...view.allBackends()].map(({ dataCentre }) => dataCentre),
    );
  }

  get #appliedRouting(): ExecutionResult["routing"] {
    return this.#options.control()?.state.routing;
  }

  #rejectRouting(detail: string) {
    this.#options.log.warn("routing-change", { outcome: "invalid", detail });
    return { kind: "invalid" as const, detail };
  }

  /**
   * Commits a command, or for undefined reads the committed routing, on the
   * current leader. Returns undefined if this did not succeed in time. Every
   * command is idempotent, so one with an unknown outcome is proposed again,
   * also to the next leader.
   */
  async #execute(
    command: Command | undefined,
    deadline = monotonicMilliseconds() + ANSWER_DEADLINE_MILLISECONDS,
  ): Promise<ExecutionResult | undefined> {
    while (true) {
      const remaining = deadline - monotonicMilliseconds();
      if (remaining < MIN_FORWARD_MILLISECONDS) return undefined;
      const done = await Promise.race([
        this.#tryExecute(command, remaining),
        sleep(remaining).then(() => undefined),
      ]);
      if (done !== undefined) return done;
      await sleep(NO_LEADER_RETRY_MILLISECONDS);
    }
  }

  async #tryExecute(
    command: Command | undefined,
    timeoutMilliseconds: number,
  ): Promise<ExecutionResult | undefined> {
    const { control, leaderAddress, selfAddress } = this.#options;
    if (control()?.isLeading(monotonicMilliseconds())) {
      const here = await this.#executeLocally(command);
      return here.outcome === ForwardOutcome.DONE ? here : undefined;
    }
    const leader = leaderAddress();
    if (leader === "" || leader === selfAddress) return undefined;
    return await this.#forward(leader, command, timeoutMilliseconds);
  }

  async #executeLocally(
    command: Command | undefined,
  ): Promise<ExecutionResult & { outcome: ForwardOutcome }> {
    const control = this.#options.control();
    const nothing = { routing: undefined, answer: undefined };
    if (control === undefined) {
      return { outcome: ForwardOutcome.NOT_LEADING, ...nothing };
    }
    const outcome = command === undefined
      ? await control.read()
      : await control.propose(command, { untilInForce: false });
    if (outcome.kind === "committed") {
      return {
        outcome: ForwardOutcome.DONE,
        // Only reads need it: it can be megabytes, and departures are many.
        routing: command === undefined ? control.state.routing : undefined,
        answer: command && outcome.result,
      };
    }
    return {
      outcome: outcome.kind === "unknown"
        ? ForwardOutcome.UNKNOWN
        : ForwardOutcome.NOT_LEADING,
      ...nothing,
    };
  }

  async #forward(
    leader: string,
    command: Command | undefined,
    timeoutMilliseconds: number,
  ): Promise<ExecutionResult | undefined> {
    const { clients, log } = this.#options;
    const bytes = command === undefined
      ? new Uint8Array(0)
      : new TextEncoder().encode(JSON.stringify(command));
    try {
      const answer = await clients.client(FollowService, leader)
        .forward({ command: bytes }, {
          timeoutMs: Math.floor(timeoutMilliseconds),
        });
      if (answer.outcome !== ForwardOutcome.DONE) return undefined;
      return decodeForwardResponse(answer);
    } catch (error) {
      clients.dropConnection(leader);
      log.warn("forward-failed", { leader, reason: String(error) });
      return undefined;
    }
  }
}
