import type { ConnectRouter } from "@connectrpc/connect";
import { create } from "@bufbuild/protobuf";
import { RaftNode } from "@teaselrouter/core/consensus/raft_node.ts";
import { StartGate } from "@teaselrouter/core/membership/start_gate.ts";
import { decodeControlState } from "@teaselrouter/core/state/decode_control_state.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import { encodeControlState } from "@teaselrouter/core/state/encode_control_state.ts";
import {
  type Member,
  MemberSchema,
  type Membership,
  SnapshotDataSchema,
} from "@teaselrouter/messages/control.ts";
import { DataFolder } from "@teaselrouter/storage/data_folder.ts";
import { Subject } from "rxjs";
import { Result } from "true-myth";
import type { CallerIntake } from "../http/caller_intake.ts";
import type { EventLog } from "../log/event_log.ts";
import type { PlatformAdapter } from "../platform/platform_adapter.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { splitAddress } from "../transport/split_address.ts";
import { ControlHost } from "./control_host.ts";
import { controlRoutes } from "./control_routes.ts";
import { bootstrapCluster } from "./bootstrap_cluster.ts";
import { joinCluster } from "./join_cluster.ts";
import { canBootstrapCluster } from "./can_bootstrap_cluster.ts";
import { MembershipManager } from "./membership_manager.ts";
import { giveUpVote } from "./give_up_vote.ts";
import { PeerLinks } from "./peer_links.ts";
import { PlatformServices } from "./platform_services.ts";
import { RaftDriver } from "./raft_driver.ts";
import { replaceFounder } from "./replace_founder.ts";

const LEADERSHIP_TRANSFER_MILLISECONDS = 3_000;
const TRANSFER_POLL_MILLISECONDS = 20;

type Options = {
  settings: Settings;
  clients: ClientPool;
  log: EventLog;
  intake: CallerIntake;
  stopProcess: (reason: string) => void;
  /** Set in a platform's build, where operators and backend servers call. */
  platform: PlatformAdapter | undefined;
};

/** Runs a control host: one Raft member and the services built on it. */
export class ControlApp {
  #options: Options;
  #folder: DataFolder;
  #self: Member;
  #links: PeerLinks;
  /** Addresses of the founders in the settings. */
  #seeds: string[];
  #listedDataCentres: readonly string[];
  /** Restored from disk or bootstrapped; used until the Raft node runs. */
  #membership: Membership | undefined;
  #knownMembers: Member[] = [];
  #driver: RaftDriver | undefined;
  #control: ControlHost | undefined;
  #membershipManager: MembershipManager | undefined;
  #platformServices: PlatformServices | undefined;
  #memberStarted$ = new Subject<ControlHost>();
  #isStopped = false;
  #startGate = new StartGate({
    startedAt: monotonicMilliseconds(),
    isCurrent: () => this.#control?.isCaughtUp ?? false,
    controlIps: () =>
      [...this.#controlAddresses(), ...this.#seeds].map((address) =>
        splitAddress(address).host
      ),
  });

  private constructor(options: Options, folder: DataFolder) {
    const { settings } = options;
    this.#options = options;
    this.#seeds = settings.control!.founders.map(({ address }) => address);
    this.#listedDataCentres = settings.control!.data_centres;
    this.#folder = folder;
    this.#links = new PeerLinks(options.clients);
    this.#self = create(MemberSchema, {
      id: folder.identity.id,
      name: settings.name,
      address: settings.internal.listen,
      dataCentre: settings.data_centre,
    });
    const { membership } = folder.restoredLog.snapshot;
    if ((membership?.members.length ?? 0) > 0) this.#membership = membership;
    if (options.platform !== undefined) {
      this.#platformServices = this.#createPlatformServices(options.platform);
    }
  }

  static async open(options: Options): Promise<Result<ControlApp, string>> {
    const { settings } = options;
    const folder = await DataFolder.open(
      settings.control!.data_folder,
      settings.name,
    );
    if (folder.isErr) {
      return Result.err(`${folder.error.kind}: ${folder.error.detail}`);
    }
    return Result.ok(new ControlApp(options, folder.value));
  }

  routes(router: ConnectRouter): void {
    controlRoutes({
      self: this.#self,
      timeline: this.#options.log.timeline,
      membership: () => this.#control?.node.membership ?? this.#membership,
      control: () => this.#control,
      driver: () => this.#driver,
      addCandidate: (member) => this.#membershipManager?.addCandidate(member),
      replaceMember: (name) => this.#replaceMember(name),
    })(router);
    this.#platformServices?.routes(router);
  }

  /** Whether to accept a connection from this IP address now. */
  mayConnect(ip: string): boolean {
    return this.#startGate.admits(ip, monotonicMilliseconds());
  }

  get control(): ControlHost | undefined {
    return this.#control;
  }

  /**
   * Starts the platform services, then the Raft member in the background,
   * since bootstrapping a cluster waits for the other founders.
   */
  async start(): Promise<Result<void, string>> {
    const opened = await this.#platformServices?.start();
    if (opened?.isErr) return Result.err(opened.error);
    this.#startMember().catch((error) =>
      this.#options.stopProcess(String(error.stack ?? error))
    );
    return Result.ok(undefined);
  }

  /**
   * Replaces the data centres, and the founders' addresses, at which control
   * hosts are tried, by those in the new settings; an empty list of founders is
   * ignored.
   */
  reload(settings: Settings): void {
    const founders = settings.control?.founders ?? [];
    if (founders.length > 0) {
      this.#seeds = founders.map(({ address }) => address);
    }
    this.#listedDataCentres = settings.control?.data_centres ?? [];
  }

  /**
   * Transfers leadership before stopping, so that no change is refused in the
   * meantime, and the vote to a spare host if there is one.
   */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const node = this.#control?.node;
    const deadline = monotonicMilliseconds() + LEADERSHIP_TRANSFER_MILLISECONDS;
    if (node?.transferLeadership(monotonicMilliseconds())) {
      while (
        node.isLeading(monotonicMilliseconds()) &&
        monotonicMilliseconds() < deadline
      ) {
        await sleep(TRANSFER_POLL_MILLISECONDS);
      }
    }
    if (this.#membershipManager !== undefined) {
      const { clients } = this.#options;
      await giveUpVote({ control: this.#control!, self: this.#self, clients });
    }
    this.#membershipManager?.stop();
    this.#platformServices?.stop();
    await this.#driver?.stop();
    this.#links.close();
  }

  async #startMember(): Promise<void> {
    const { settings } = this.#options;
    const { restoredLog } = this.#folder;
    if (
      this.#membership === undefined &&
      canBootstrapCluster(settings, this.#self.address, restoredLog)
    ) await this.#bootstrap();
    if (this.#isStopped) return;
    this.#openMember();
    const { tolerated_losses } = settings.control!;
    if (tolerated_losses === undefined) return;
    this.#membershipManager = new MembershipManager({
      control: this.#control!,
      targetVoters: 2 * tolerated_losses + 1,
      log: this.#options.log,
    });
    await this.#requestMembership();
  }

  #openMember(): void {
    const { log, settings, stopProcess } = this.#options;
    const { restoredLog } = this.#folder;
    const state = decodeControlState(restoredLog.snapshot.state);
    state.appliedIndex = restoredLog.snapshot.lastIndex;
    const node = new RaftNode({
      id: this.#self.id,
      electionTimeoutMilliseconds: settings.control!.election_milliseconds,
      heartbeatIntervalMilliseconds: settings.control!.heartbeat_milliseconds,
      random: Math.random,
      now: monotonicMilliseconds(),
      ...restoredLog,
    });
    const driver = new RaftDriver({
      node,
      folder: this.#folder,
      links: this.#links,
      log,
      snapshotBytes: settings.control!.snapshot_bytes,
      knownMembers: this.#knownMembers,
      encodeState: () => this.#encodeState(),
      stopProcess,
    });
    this.#driver = driver;
    this.#control = new ControlHost({ node, driver, log }, state);
    this.#memberStarted$.next(this.#control);
    driver.start();
    log.info("control-started", {
      member: node.id,
      last_index: node.lastIndex,
      term: node.term,
    });
  }

  #requestMembership(): Promise<void> {
    const { clients, log } = this.#options;
    return joinCluster({
      self: this.#self,
      clients,
      log,
      addresses: () => this.#controlAddresses(),
      hasLeader: () => this.#control!.node.leaderId !== "",
      isStopped: () => this.#isStopped,
      onMembership: ({ members }) => {
        this.#knownMembers = members;
        this.#driver?.addKnownMembers(members);
      },
    });
  }

  /**
   * Addresses of the members in the log, or of those that other hosts named
   * while the log has none. Adds the founders in the settings until there is a
   * leader.
   */
  #controlAddresses(): string[] {
    const members = this.#control?.node.membership.members ?? [];
    const known = members.length > 0 ? members : this.#knownMembers;
    const addresses = known.map(({ address }) => address);
    if (this.#control?.node.leaderId) return addresses;
    return [...new Set([...addresses, ...this.#seeds])];
  }

  #createPlatformServices(platform: PlatformAdapter): PlatformServices {
    return new PlatformServices({
      ...this.#options,
      platform,
      started$: this.#memberStarted$,
      control: () => this.#control,
      replicatedState: () => this.#control?.state ?? createEmptyControlState(),
      controlAddresses: () => this.#controlAddresses(),
      listedDataCentres: () => this.#listedDataCentres,
    });
  }

  async #bootstrap(): Promise<void> {
    const membership = await bootstrapCluster({
      settings: this.#options.settings,
      self: this.#self,
      clients: this.#options.clients,
      log: this.#options.log,
      isStopped: () => this.#isStopped,
      onMembership: ({ members }) => {
        this.#knownMembers = members;
      },
    });
    if (membership === undefined || membership.members.length === 0) return;
    const snapshot = create(SnapshotDataSchema, { membership });
    const { hardState } = this.#folder.restoredLog;
    const saved = await this.#folder.saveSnapshot(snapshot, {
      hardState,
      entries: [],
    });
    if (saved.isErr) return this.#options.stopProcess(saved.error.detail);
    this.#folder.restoredLog.snapshot = snapshot;
    this.#membership = membership;
  }

  async #replaceMember(name: string): Promise<Result<string, string>> {
    const control = this.#control;
    if (control === undefined) return Result.err("no-leader");
    const self = this.#self;
    return await replaceFounder(name, { ...this.#options, control, self });
  }

  #encodeState(): { index: number; state: Uint8Array } {
    const { state } = this.#control!;
    return {
      index: state.appliedIndex,
      state: encodeControlState(state, { withClaims: true }),
    };
  }
}
