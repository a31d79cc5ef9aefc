import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { createBackendServerRow } from "@teaselrouter/core/routing/create_backend_server_row.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type {
  AgentToEntry,
  Announcement,
  BackendEnded,
  EntryToAgent,
  LoadReport,
  PermitRequest,
} from "@teaselrouter/messages/agent.ts";
import { EntryToAgentSchema } from "@teaselrouter/messages/agent.ts";
import { Subject, Subscription } from "rxjs";
import type { EventLog } from "../../log/event_log.ts";
import type { ControlSession } from "./control_session.ts";
import type { PermitQueue } from "./permit_queue.ts";
import type { SpreadCoordinator } from "../../rollout/spread_coordinator.ts";

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
/**
 * A session that receives no message for this long is closed. Longer than an
 * agent's heartbeat interval and a silence of two seconds: of all agents at
 * once, if this host itself was the one that stood still.
 */
const SILENCE_TIMEOUT_MILLISECONDS = 4_000;

type Options = {
  host: string;
  dataCentre: string;
  control: ControlSession;
  table: BackendServerTable;
  coordinator: SpreadCoordinator;
  permits: PermitQueue;
  log: EventLog;
  /** Called when a backend server is proved to have ended under calls. */
  onLateEnd: (ended: BackendEnded) => void;
  /**
   * The newest session of each agent, by backend server. Closing an older
   * session leaves the agent registered.
   */
  newestSessions: Map<string, AgentSession>;
};

/** Handles the entry host's side of one agent's stream. */
export class AgentSession {
  readonly outgoing$ = new Subject<EntryToAgent>();
  #options: Options;
  #announcement: Announcement | undefined;
  #subscriptions = new Subscription();
  #lastMessageAt = Date.now();
  #sentTargetIndex = 0;
  #sentDrained = false;
  #sentFencingToken = 0;
  #timer: NodeJS.Timeout;
  #isClosed = false;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(
      () => this.#sendHeartbeatOrClose(),
      HEARTBEAT_INTERVAL_MILLISECONDS,
    );
    this.#subscriptions.add(
      options.control.changed$.subscribe((state) =>
        this.#sendStateUpdates(state)
      ),
    );
  }

  handleMessage(message: AgentToEntry): void {
    if (this.#isClosed) return;
    this.#lastMessageAt = Date.now();
    this.#options.log.timeline.observe(this.#lastMessageAt, {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "announcement":
        return this.#handleAnnouncement(body.value);
      case "load":
        return this.#handleLoadReport(body.value);
      case "chunks":
        return this.#options.coordinator.recordReport(
          this.#backendServer,
          body.value,
        );
      case "permitRequest":
        return this.#handlePermitRequest(body.value);
      case "loadSettled":
        this.#returnPermit(body.value.fencingToken);
        return;
      case "heartbeat":
        return this.#updateHeardAt();
      case "backendEnded":
        return this.#options.onLateEnd(body.value);
    }
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
    if (this.#options.newestSessions.get(this.#backendServer) !== this) return;
    this.#options.newestSessions.delete(this.#backendServer);
    this.#options.coordinator.removeHost(this.#backendServer);
    // In-flight calls keep a reference to their row; a new session creates a
    // new row.
    this.#options.table.delete(this.#backendServer);
    this.#options.log.info("backend-server-gone", {
      backend_server: this.#backendServer,
    });
  }

  get #backendServer(): string {
    return this.#announcement?.backendServer ?? "";
  }

  /**
   * The agent's row in the table. Undefined before the announcement, and once a
   * newer process of the agent has replaced the row.
   */
  get #row(): BackendServerRow | undefined {
    const row = this.#options.table.get(this.#backendServer);
    return row?.incarnation === this.#announcement?.incarnation
      ? row
      : undefined;
  }

  #handleAnnouncement(announcement: Announcement): void {
    const isFirst = this.#announcement === undefined;
    this.#announcement = announcement;
    const now = Date.now();
    const existing = this.#row;
    const {
      $typeName: _type,
      $unknown: _unknown,
      pauseMilliseconds,
      ...fields
    } = announcement;
    const wasAccepting = existing?.accepting ?? false;
    const row: BackendServerRow = {
      ...(existing ?? createBackendServerRow(fields, now)),
      ...fields,
      heardAt: now,
      pausedUntil: pauseMilliseconds > 0 ? now + pauseMilliseconds : 0,
    };
    if (row.accepting && !wasAccepting) row.acceptingSince = now;
    // In-flight calls reference the row and update its counters, so an existing
    // row is changed in place.
    if (existing === undefined) this.#options.table.set(row);
    else Object.assign(existing, row);
    if (!isFirst) return;
    this.#options.newestSessions.set(announcement.backendServer, this);
    this.#registerAgent(announcement);
  }

  /** Called on the first announcement of this session. */
  #registerAgent(announcement: Announcement): void {
    const { control, coordinator, log } = this.#options;
    log.info("backend-server-announced", {
      backend_server: announcement.backendServer,
      service: announcement.service,
      data_centre: announcement.dataCentre,
    });
    coordinator.addHost({
      backendServer: announcement.backendServer,
      dataCentre: announcement.dataCentre,
      chunkAddress: announcement.chunkAddress,
      linkBytesPerSecond: announcement.linkBytesPerSecond,
      send: (message) => this.outgoing$.next(message),
    });
    this.#sendHeartbeatOrClose();
    this.#sendStateUpdates(control.state);
  }

  #handleLoadReport(load: LoadReport): void {
    const row = this.#row;
    if (row === undefined) return;
    this.#updateHeardAt();
    row.load = {
      running: load.running,
      queued: load.queued,
      serviceMilliseconds: load.serviceMilliseconds,
      ownInFlight: row.ownInFlight,
      at: Date.now(),
    };
  }

  #handlePermitRequest(request: PermitRequest): void {
    const announcement = this.#announcement;
    if (announcement === undefined) return;
    const { permits, table } = this.#options;
    const now = Date.now();
    const live = table.ofService(announcement.service)
      .filter((row) => table.isLive(row, now)).length;
    permits.add({
      kind: "request-permit",
      service: announcement.service,
      backendServer: announcement.backendServer,
      incarnation: announcement.incarnation,
      version: request.version,
      wasServing: request.wasServing,
      live,
      // The leader sets the time.
      at: 0,
    });
  }

  /** Without a confirmation, the agent tells the return again. */
  async #returnPermit(fencingToken: number): Promise<void> {
    const reply = await this.#options.control.propose({
      kind: "settle-permit",
      backendServer: this.#backendServer,
      fencingToken,
    });
    if (reply.kind !== "committed") return;
    this.#send({ case: "permitReturned", value: { fencingToken } });
  }

  /**
   * Sends the agent its drain state and its permit if they have changed, and
   * the weights to load if they are newer than those sent before.
   */
  #sendStateUpdates(state: ControlState): void {
    const service = this.#announcement?.service;
    if (service === undefined) return;
    this.#sendDrainUpdate(state);
    this.#sendPermitUpdate(state);
    const weights = state.weights.get(service);
    if (weights === undefined || weights.index <= this.#sentTargetIndex) return;
    this.#sentTargetIndex = weights.index;
    this.#send({
      case: "target",
      value: {
        service,
        version: versionName(weights.manifest),
        manifest: new TextEncoder().encode(JSON.stringify(weights.manifest)),
        store: weights.store,
        number: weights.index,
        servingShare: weights.servingShare,
      },
    });
  }

  #sendDrainUpdate(state: ControlState): void {
    const drained = state.drained.has(this.#backendServer);
    if (drained === this.#sentDrained) return;
    this.#sentDrained = drained;
    this.#send({ case: "drain", value: drained });
  }

  /**
   * Whoever asked for the permit: the stream over which it was asked for may
   * have ended, and a permit that its agent doesn't know is never given back.
   */
  #sendPermitUpdate(state: ControlState): void {
    const permit = state.permits.get(this.#backendServer);
    if (permit === undefined) return;
    const { version, fencingToken, incarnation, at } = permit;
    if (fencingToken <= this.#sentFencingToken) return;
    this.#sentFencingToken = fencingToken;
    const ageMilliseconds = Math.max(0, Date.now() - at);
    this.#send({
      case: "permit",
      value: { version, fencingToken, incarnation, ageMilliseconds },
    });
  }

  #updateHeardAt(): void {
    const row = this.#row;
    if (row !== undefined) row.heardAt = this.#lastMessageAt;
  }

  #sendHeartbeatOrClose(): void {
    if (
      Date.now() - this.#lastMessageAt > SILENCE_TIMEOUT_MILLISECONDS
    ) return this.close();
    const { control, host, dataCentre } = this.#options;
    const current = control.hasLease(Date.now());
    this.#send({ case: "heartbeat", value: { current, host, dataCentre } });
  }

  #send(body: MessageInitShape<typeof EntryToAgentSchema>["body"]): void {
    const clock = this.#options.log.timeline.stampMessage(Date.now());
    this.outgoing$.next(create(EntryToAgentSchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}
