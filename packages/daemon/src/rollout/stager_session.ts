import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type {
  AgentToEntry,
  Announcement,
  EntryToAgent,
  LoadReport,
  PermitRequest,
} from "@teaselrouter/messages/agent.ts";
import { EntryToAgentSchema } from "@teaselrouter/messages/agent.ts";
import {
  type EngineLoad,
  EngineLoadSchema,
  type EngineNotice,
  EngineNoticeSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject, Subscription } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ManifestKeeper } from "./manifest_keeper.ts";
import type { RolloutHub } from "./rollout_hub.ts";
import type { WeightsTargetRow } from "./weights_target_row.ts";

/** Two in what a stager bears in silence. */
const HEARTBEAT_MILLISECONDS = 1_400;
const SILENT_MILLISECONDS = 3_000;

type Options = {
  host: string;
  dataCentre: string;
  hub: RolloutHub;
  manifests: ManifestKeeper;
  log: EventLog;
  controlAddresses: () => string[];
  notice: (notice: EngineNotice) => void;
  noteLoad: (load: EngineLoad) => void;
  namedAges: (model: string) => { version: number; ageMilliseconds: number }[];
};

/** The control side of one stager's stream. */
export class StagerSession {
  readonly outgoing$ = new Subject<EntryToAgent>();
  announcement: Announcement | undefined;
  #options: Options;
  #heardAt = monotonicMilliseconds();
  #subscriptions = new Subscription();
  #timer: NodeJS.Timeout;
  #isClosed = false;

  constructor(options: Options) {
    this.#options = options;
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS);
    this.#subscriptions.add(
      options.manifests.target$.subscribe((target) => this.#tell(target)),
    );
  }

  take(message: AgentToEntry): void {
    if (this.#isClosed) return;
    this.#heardAt = monotonicMilliseconds();
    const { body } = message;
    if (body.case === "announcement") return this.#takeAnnouncement(body.value);
    if (this.announcement === undefined) return;
    const { hub } = this.#options;
    switch (body.case) {
      case "chunks":
        return hub.takeReport(this, body.value);
      case "permitRequest":
        return this.#takePermitRequest(body.value);
      case "loadSettled":
        return hub.endTurn(this);
      case "load":
        return this.#takeLoad(body.value);
    }
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
    if (!this.#options.hub.removeSession(this)) return;
    // What it said of its engine may not be true for long.
    this.#notice({ agentGone: true });
  }

  #takeAnnouncement(announcement: Announcement): void {
    const isFirst = this.announcement === undefined;
    this.announcement = announcement;
    this.#notice({ agentGone: false });
    if (!isFirst) return;
    const { hub, log, manifests } = this.#options;
    log.info("stager-followed", {
      stager: announcement.backendServer,
      engine: announcement.engineAddress,
    });
    hub.addSession(this);
    this.#beat();
    for (const target of manifests.targets) this.#tell(target);
  }

  #notice({ agentGone }: { agentGone: boolean }): void {
    const said = this.announcement!;
    this.#options.notice(create(EngineNoticeSchema, {
      engineAddress: said.engineAddress,
      accepting: said.accepting,
      servingVersion: said.servingVersion,
      sequence: said.sequence,
      engineBornAt: said.engineBornAt,
      agentGone,
    }));
  }

  #takeLoad({ running, queued }: LoadReport): void {
    this.#options.noteLoad(create(EngineLoadSchema, {
      engineAddress: this.announcement!.engineAddress,
      running,
      waiting: queued,
    }));
  }

  #takePermitRequest({ version, wasServing }: PermitRequest): void {
    const { hub } = this.#options;
    const now = monotonicMilliseconds();
    if (!hub.takeTurn(this, wasServing, now)) return;
    this.#send({ case: "permit", value: { version, fencingToken: 0 } });
  }

  #tell(target: WeightsTargetRow): void {
    if (target.service !== this.announcement?.service) return;
    const { manifest, model, store, version } = target;
    this.#send({
      case: "target",
      value: {
        service: target.service,
        version: versionName(manifest),
        manifest: new TextEncoder().encode(JSON.stringify(manifest)),
        store,
        number: version,
        servingShare: 0,
        named: this.#options.namedAges(model),
      },
    });
  }

  #beat(): void {
    const silence = monotonicMilliseconds() - this.#heardAt;
    if (silence > SILENT_MILLISECONDS) return this.close();
    const { host, dataCentre, controlAddresses } = this.#options;
    this.#send({
      case: "heartbeat",
      value: {
        current: true,
        host,
        dataCentre,
        addresses: controlAddresses(),
      },
    });
  }

  #send(body: MessageInitShape<typeof EntryToAgentSchema>["body"]): void {
    this.outgoing$.next(create(EntryToAgentSchema, { body }));
  }
}
