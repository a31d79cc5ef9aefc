import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { BackendServerTable } from "@teaselrouter/core/routing/backend_server_table.ts";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import { newBackendServerRow } from "@teaselrouter/core/routing/new_backend_server_row.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type {
  AgentToEntry,
  Announcement,
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

const HEARTBEAT_MILLISECONDS = 1_000;
const SILENT_MILLISECONDS = 3_000;

type Options = {
  host: string;
  dataCentre: string;
  control: ControlSession;
  table: BackendServerTable;
  coordinator: SpreadCoordinator;
  permits: PermitQueue;
  log: EventLog;
  /** The newest session of each agent; an older one closes without effect. */
  owners: Map<string, AgentSession>;
};

/** The entry host's side of one agent's stream. */
export class AgentSession {
  readonly outgoing$ = new Subject<EntryToAgent>();
  #options: Options;
  #announcement: Announcement | undefined;
  #subscriptions = new Subscription();
  #heardAt = Date.now();
  #toldTarget = 0;
  #toldDrain = false;
  #timer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS);
    this.#subscriptions.add(
      options.control.changed$.subscribe((state) => this.#tellState(state)),
    );
  }

  take(message: AgentToEntry): void {
    this.#heardAt = Date.now();
    this.#options.log.ring.observe(this.#heardAt, {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "announcement":
        return this.#takeAnnouncement(body.value);
      case "load":
        return this.#takeLoad(body.value);
      case "chunks":
        return this.#options.coordinator.takeReport(this.#name, body.value);
      case "permitRequest":
        return this.#takePermitRequest(body.value);
      case "loadSettled":
        this.#options.control.propose({
          kind: "settle-permit",
          backendServer: this.#name,
          fencingToken: body.value.fencingToken,
        });
        return;
      case "heartbeat":
        return this.#touch();
    }
  }

  close(): void {
    clearInterval(this.#timer);
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
    if (this.#options.owners.get(this.#name) !== this) return;
    this.#options.owners.delete(this.#name);
    this.#options.coordinator.removeHost(this.#name);
    // Calls under way keep their row; a new session makes a new one.
    this.#options.table.delete(this.#name);
    this.#options.log.info("backend-server-gone", {
      backend_server: this.#name,
    });
  }

  get #name(): string {
    return this.#announcement?.backendServer ?? "";
  }

  /** This session's row; a newer session of the same agent has its own. */
  get #row(): BackendServerRow | undefined {
    const row = this.#options.table.get(this.#name);
    return row?.incarnation === this.#announcement?.incarnation
      ? row
      : undefined;
  }

  #takeAnnouncement(announcement: Announcement): void {
    const isFirst = this.#announcement === undefined;
    this.#announcement = announcement;
    const now = Date.now();
    const before = this.#row;
    const { $typeName: _type, $unknown: _unknown, ...fields } = announcement;
    const wasAccepting = before?.accepting ?? false;
    const row: BackendServerRow = {
      ...(before ?? newBackendServerRow(fields, now)),
      ...fields,
      heardAt: now,
    };
    if (row.accepting && !wasAccepting) row.acceptingSince = now;
    // Calls under way hold the row and count in it: change it in place.
    if (before === undefined) this.#options.table.set(row);
    else Object.assign(before, row);
    if (!isFirst) return;
    this.#options.owners.set(announcement.backendServer, this);
    this.#begin(announcement);
  }

  #begin(announcement: Announcement): void {
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
    this.#beat();
    this.#tellState(control.state);
  }

  #takeLoad(load: LoadReport): void {
    const row = this.#row;
    if (row === undefined) return;
    this.#touch();
    row.load = {
      running: load.running,
      queued: load.queued,
      serviceMilliseconds: load.serviceMilliseconds,
      ownInFlight: row.ownInFlight,
      at: Date.now(),
    };
  }

  #takePermitRequest(request: PermitRequest): void {
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
      at: 0,
    }, ({ version, fencingToken }) => {
      this.#send({ case: "permit", value: { version, fencingToken } });
    });
  }

  #tellState(state: ControlState): void {
    const service = this.#announcement?.service;
    if (service === undefined) return;
    this.#tellDrain(state);
    const weights = state.weights.get(service);
    if (weights === undefined || weights.index <= this.#toldTarget) return;
    this.#toldTarget = weights.index;
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

  #tellDrain(state: ControlState): void {
    const drained = state.drained.has(this.#name);
    if (drained === this.#toldDrain) return;
    this.#toldDrain = drained;
    this.#send({ case: "drain", value: drained });
  }

  #touch(): void {
    const row = this.#row;
    if (row !== undefined) row.heardAt = this.#heardAt;
  }

  #beat(): void {
    if (Date.now() - this.#heardAt > SILENT_MILLISECONDS) return this.close();
    const { control, host, dataCentre } = this.#options;
    const current = control.hasLease(Date.now());
    this.#send({ case: "heartbeat", value: { current, host, dataCentre } });
  }

  #send(body: MessageInitShape<typeof EntryToAgentSchema>["body"]): void {
    const clock = this.#options.log.ring.now(Date.now());
    this.outgoing$.next(create(EntryToAgentSchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}
