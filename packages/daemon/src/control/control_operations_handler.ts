import { create } from "@bufbuild/protobuf";
import type { BlamedRequestRow } from "@teaselrouter/core/crashes/blamed_request_row.ts";
import type { SuspectedRequestRow } from "@teaselrouter/core/crashes/suspected_request_row.ts";
import { findConfigurationFault } from "@teaselrouter/core/gateway/find_configuration_fault.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import {
  FollowService,
  ForwardOutcome,
  type ForwardResponse,
  ForwardResponseSchema,
} from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import type { RoutingDecoder } from "../platform/routing_decoder.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { pause } from "../transport/pause.ts";
import type { ControlHost } from "./control_host.ts";
import type { ControlOperations } from "./control_operations.ts";
import type { SharedView } from "./shared_view.ts";

/** Callers turn to the next host after a second; this leaves time to say so. */
const ANSWER_MILLISECONDS = 850;
const LEADERLESS_PAUSE_MILLISECONDS = 25;
/** Below it a forwarded call can't come back in time. */
const LEAST_CALL_MILLISECONDS = 20;

type Options = {
  control: () => ControlHost | undefined;
  leaderAddress: () => string;
  selfAddress: string;
  view: SharedView;
  clients: ClientPool;
  log: EventLog;
  decodeRouting: RoutingDecoder;
};

type Standing = { version: number; document: string } | undefined;
type Done = { standing: Standing } | undefined;

/** A control host's door for operators and backend servers. */
export class ControlGate implements ControlOperations {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  async replaceRouting(document: string) {
    const { decodeRouting, log } = this.#options;
    const decoded = decodeRouting(document);
    if (decoded.isErr) return this.#refuse(decoded.error);
    const { version } = decoded.value;
    const fault = findConfigurationFault(decoded.value);
    if (fault !== undefined) {
      return this.#refuse(`${fault.field}: ${fault.detail}`);
    }
    // What stands is committed: an old change that arrives again is
    // acknowledged without the leader.
    const standing = this.#applied?.version ?? -1;
    const done = version <= standing ||
      (await this.#carryOut({ kind: "replace-routing", version, document })) !==
        undefined;
    log.info("routing-change", {
      version,
      standing,
      outcome: done ? "accepted" : "unknown",
    });
    return done
      ? { kind: "accepted" as const }
      : { kind: "unavailable" as const };
  }

  async readRouting() {
    const done = await this.#carryOut(undefined);
    if (done === undefined) return { kind: "unavailable" as const };
    return done.standing === undefined
      ? { kind: "none" as const }
      : { kind: "document" as const, document: done.standing.document };
  }

  async nameWeights(named: { model: string; version: number }) {
    const { control, log } = this.#options;
    const known = control()?.state.namedWeights.get(named.model)?.version ?? 0;
    const done = named.version <= known ||
      (await this.#carryOut({ kind: "name-weights", ...named, at: 0 })) !==
        undefined;
    log.info("weights-named", {
      ...named,
      outcome: done ? "accepted" : "unknown",
    });
    return done ? "accepted" as const : "unavailable" as const;
  }

  /** Keeps a blame over a loss of all power; tried for a moment only. */
  async keepBlame(row: BlamedRequestRow): Promise<boolean> {
    const command = { kind: "blame-request" as const, ...row };
    return await this.#carryOut(command) !== undefined;
  }

  /** Keeps what speaks against a request ahead of a blame. */
  async keepSuspicion(row: SuspectedRequestRow): Promise<boolean> {
    const command = { kind: "suspect-request" as const, ...row };
    return await this.#carryOut(command) !== undefined;
  }

  async liftBlame(fingerprint: string): Promise<boolean> {
    const command = { kind: "lift-blame" as const, fingerprint };
    return await this.#carryOut(command) !== undefined;
  }

  hearStanding(standing: BackendStanding): void {
    this.#options.view.hear(standing);
  }

  hearLeaving(instance: string): void {
    this.#options.view.hearLeaving(instance);
  }

  noteUnreadable(what: string, detail: string): void {
    this.#options.log.warn("unreadable", { what, detail });
  }

  /** Another control host hands on what it was asked; only a leader does it. */
  async takeForwarded(bytes: Uint8Array): Promise<ForwardResponse> {
    const command = bytes.length === 0
      ? undefined
      : JSON.parse(new TextDecoder().decode(bytes)) as Command;
    const { outcome, standing } = await this.#carryOutHere(command);
    if (standing === undefined) {
      return create(ForwardResponseSchema, { outcome });
    }
    const document = new TextEncoder().encode(standing.document);
    return create(ForwardResponseSchema, {
      outcome,
      routing: { version: standing.version, document },
    });
  }

  get #applied(): Standing {
    return this.#options.control()?.state.routing;
  }

  #refuse(detail: string) {
    this.#options.log.warn("routing-change", { outcome: "invalid", detail });
    return { kind: "invalid" as const, detail };
  }

  /**
   * Commits a command, or shows what stands, with whoever leads; undefined
   * when that could not be shown in time. Every command is idempotent, so one
   * whose fate is not known is proposed again to the next leader.
   */
  async #carryOut(command: Command | undefined): Promise<Done> {
    const until = monotonicMilliseconds() + ANSWER_MILLISECONDS;
    while (true) {
      const left = until - monotonicMilliseconds();
      if (left < LEAST_CALL_MILLISECONDS) return undefined;
      const done = await Promise.race([
        this.#carryOutOnce(command, left),
        pause(left).then(() => undefined),
      ]);
      if (done !== undefined) return done;
      await pause(LEADERLESS_PAUSE_MILLISECONDS);
    }
  }

  async #carryOutOnce(
    command: Command | undefined,
    milliseconds: number,
  ): Promise<Done> {
    const { control, leaderAddress, selfAddress } = this.#options;
    if (control()?.isLeading(monotonicMilliseconds())) {
      const here = await this.#carryOutHere(command);
      return here.outcome === ForwardOutcome.DONE ? here : undefined;
    }
    const leader = leaderAddress();
    if (leader === "" || leader === selfAddress) return undefined;
    return await this.#forward(leader, command, milliseconds);
  }

  async #carryOutHere(
    command: Command | undefined,
  ): Promise<{ outcome: ForwardOutcome; standing: Standing }> {
    const control = this.#options.control();
    if (control === undefined) {
      return { outcome: ForwardOutcome.NOT_LEADING, standing: undefined };
    }
    const outcome = command === undefined
      ? await control.read()
      : await control.propose(command, { untilInForce: false });
    if (outcome.kind === "committed") {
      return {
        outcome: ForwardOutcome.DONE,
        standing: control.state.routing,
      };
    }
    return {
      outcome: outcome.kind === "unknown"
        ? ForwardOutcome.UNKNOWN
        : ForwardOutcome.NOT_LEADING,
      standing: undefined,
    };
  }

  async #forward(
    leader: string,
    command: Command | undefined,
    milliseconds: number,
  ): Promise<Done> {
    const { clients, log } = this.#options;
    const bytes = command === undefined
      ? new Uint8Array(0)
      : new TextEncoder().encode(JSON.stringify(command));
    try {
      const answer = await clients.client(FollowService, leader)
        .forward({ command: bytes }, { timeoutMs: Math.floor(milliseconds) });
      if (answer.outcome !== ForwardOutcome.DONE) return undefined;
      const { routing } = answer;
      return {
        standing: routing && {
          version: routing.version,
          document: new TextDecoder().decode(routing.document),
        },
      };
    } catch (error) {
      clients.renew(leader);
      log.warn("forward-failed", { leader, reason: String(error) });
      return undefined;
    }
  }
}
