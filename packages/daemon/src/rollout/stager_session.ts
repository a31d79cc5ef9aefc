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
import type { ManifestFetcher } from "./manifest_fetcher.ts";
import type { RolloutHub } from "./rollout_hub.ts";
import type { ServiceTarget } from "./service_target.ts";

/**
 * A stager drops the connection after 3,000 ms of silence; two heartbeats fit
 * into that time.
 */
const HEARTBEAT_INTERVAL_MILLISECONDS = 1_400;
const SILENCE_TIMEOUT_MILLISECONDS = 3_000;

type Options = {
  host: string;
  dataCentre: string;
  hub: RolloutHub;
  manifests: ManifestFetcher;
  log: EventLog;
  controlAddresses: () => string[];
  publishNotice: (notice: EngineNotice) => void;
  publishLoad: (load: EngineLoad) => void;
  namedAges: (model: string) => { version: number; ageMilliseconds: number }[];
};

/**
 * The control host's end of a stager's stream. Closes when the stager has been
 * silent for too long.
 */
export class StagerSession {
  readonly outgoing$ = new Subject<EntryToAgent>();
  announcement: Announcement | undefined;
  #options: Options;
  #lastMessageAt = monotonicMilliseconds();
  #subscriptions = new Subscription();
  #heartbeatTimer: NodeJS.Timeout;
  #isClosed = false;

  constructor(options: Options) {
    this.#options = options;
    this.#heartbeatTimer = setInterval(
      () => this.#sendHeartbeatOrClose(),
      HEARTBEAT_INTERVAL_MILLISECONDS,
    );
    this.#subscriptions.add(
      options.manifests.target$.subscribe((target) => this.#sendTarget(target)),
    );
  }

  handleMessage(message: AgentToEntry): void {
    if (this.#isClosed) return;
    this.#lastMessageAt = monotonicMilliseconds();
    const { body } = message;
    if (
      body.case === "announcement"
    ) return this.#handleAnnouncement(body.value);
    if (this.announcement === undefined) return;
    const { hub } = this.#options;
    switch (body.case) {
      case "chunks":
        return hub.recordReport(this, body.value);
      case "permitRequest":
        return this.#handlePermitRequest(body.value);
      case "loadSettled":
        return hub.releasePermit(this);
      case "load":
        return this.#handleLoadReport(body.value);
    }
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#heartbeatTimer);
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
    if (!this.#options.hub.removeSession(this)) return;
    // Without the stager, its last announcement may soon be out of date.
    this.#publishNotice({ agentGone: true });
  }

  #handleAnnouncement(announcement: Announcement): void {
    const isFirst = this.announcement === undefined;
    this.announcement = announcement;
    this.#publishNotice({ agentGone: false });
    if (!isFirst) return;
    const { hub, log, manifests } = this.#options;
    log.info("stager-followed", {
      stager: announcement.backendServer,
      engine: announcement.engineAddress,
    });
    hub.addSession(this);
    this.#sendHeartbeatOrClose();
    for (const target of manifests.targets) this.#sendTarget(target);
  }

  #publishNotice({ agentGone }: { agentGone: boolean }): void {
    const announcement = this.announcement!;
    this.#options.publishNotice(create(EngineNoticeSchema, {
      engineAddress: announcement.engineAddress,
      accepting: announcement.accepting,
      servingVersion: announcement.servingVersion,
      sequence: announcement.sequence,
      engineBornAt: announcement.engineBornAt,
      agentGone,
    }));
  }

  #handleLoadReport({ running, queued }: LoadReport): void {
    this.#options.publishLoad(create(EngineLoadSchema, {
      engineAddress: this.announcement!.engineAddress,
      running,
      waiting: queued,
    }));
  }

  #handlePermitRequest({ version, wasServing }: PermitRequest): void {
    const { hub } = this.#options;
    const now = monotonicMilliseconds();
    if (!hub.tryAcquirePermit(this, wasServing, now)) return;
    this.#send({ case: "permit", value: { version, fencingToken: 0 } });
  }

  #sendTarget(target: ServiceTarget): void {
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

  #sendHeartbeatOrClose(): void {
    const silence = monotonicMilliseconds() - this.#lastMessageAt;
    if (silence > SILENCE_TIMEOUT_MILLISECONDS) return this.close();
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
