import { createSeededRandom } from "../random/create_seeded_random.ts";
import { hashText } from "../random/hash_text.ts";
import { COLD_FLEET } from "./cold_fleet_setup_fixture.ts";
import { GatewayCensus } from "./gateway_census.ts";
import type { GatewayPresence } from "./gateway_presence.ts";
import type { GatewayView } from "./gateway_view.ts";
import { SimulatedGateway } from "./simulated_gateway_fixture.ts";

const STEP_MILLISECONDS = 20;
const CHECK_MILLISECONDS = 500;
const PARTS_MILLISECONDS = 500;
const FORWARD_MILLISECONDS = 250;
/** One way from process to process, at most. */
const MAX_DELAY_MILLISECONDS = 300;
/** A gateway that wakes reads what it was told behind its requests. */
const READ_MILLISECONDS = 100;
/** One control host; its sessions are the presences that it last answered. */
class SimulatedControlHost {
  census = new GatewayCensus();
  sessions = new Map<SimulatedGateway, number>();
  /** Number of the part of the network that it is in. */
  side = 0;
  hasLeader = true;
  told: GatewayView | undefined;
}

/**
 * Gateways, control hosts and one cold backend server, in steps of simulated
 * time. Each gateway would send it a request in every step.
 */
export class ColdFleet {
  time = 0;
  readonly random: () => number;
  readonly controlHosts: SimulatedControlHost[];
  readonly gateways: SimulatedGateway[] = [];
  arrivals: number[] = [];
  /** Largest sum of the parts of all that run. */
  mostParts = 0;
  #due = new Map<number, (() => void)[]>();
  #started = 0;
  #coldUntil = 0;

  constructor(seed: number, controlHosts = 3) {
    this.random = createSeededRandom(seed);
    // The first numbers of neighbouring seeds lie close together.
    for (let index = 0; index < 16; index += 1) this.random();
    this.controlHosts = Array.from(
      { length: controlHosts },
      () => new SimulatedControlHost(),
    );
  }

  start(
    name = `gateway-${this.#started}`,
    follows = this.controlHosts.map((_, index) => index),
  ): SimulatedGateway {
    this.#started += 1;
    const gateway = new SimulatedGateway(this, name, follows);
    this.gateways.push(gateway);
    this.#announce(gateway);
    return gateway;
  }

  /** Starts so many within a second, spread over it. */
  startWithinSecond(count: number, follows?: number[]): void {
    for (let index = 0; index < count; index += 1) {
      this.after(1_000 * this.random(), () => this.start(undefined, follows));
    }
  }

  /** Ends a gateway; a planned stop says that it sends nothing any more. */
  end(gateway: SimulatedGateway, { isPlanned = false } = {}): void {
    gateway.endsAt = this.time;
    if (!isPlanned) return;
    gateway.told.leave();
    this.#sendPresence(gateway);
  }

  /** The server has just started and is cold from now on. */
  startServer(milliseconds: number): void {
    this.#coldUntil = this.time + milliseconds;
    for (const gateway of this.gateways) this.#announce(gateway);
  }

  /** Starts a control host anew; it then gets what the others know. */
  restartControlHost(index: number): void {
    const control = this.controlHosts[index]!;
    control.census = new GatewayCensus();
    control.sessions.clear();
    this.after(FORWARD_MILLISECONDS + this.#delay(), () => {
      for (const other of this.controlHosts) {
        if (other === control || other.side !== control.side) continue;
        const known = other.census.list(this.time);
        for (const { presence, ageMilliseconds } of known) {
          control.census.record(presence, ageMilliseconds, this.time);
        }
      }
    });
  }

  after(milliseconds: number, action: () => void): void {
    const step = Math.ceil((this.time + milliseconds) / STEP_MILLISECONDS);
    const due = this.#due.get(step);
    if (due === undefined) this.#due.set(step, [action]);
    else due.push(action);
  }

  run(milliseconds: number): void {
    const until = this.time + milliseconds;
    for (; this.time < until; this.time += STEP_MILLISECONDS) this.#step();
  }

  /** Requests in the fullest second. */
  get mostInOneSecond(): number {
    const sorted = this.arrivals.toSorted((left, right) => left - right);
    let start = 0;
    let most = 0;
    for (const [index, arrival] of sorted.entries()) {
      while (arrival - sorted[start]! >= 1_000) start += 1;
      most = Math.max(most, index - start + 1);
    }
    return most;
  }

  #announce({ gate, now }: SimulatedGateway): void {
    const coldMilliseconds = this.#coldUntil - this.time;
    if (coldMilliseconds <= 0) return;
    gate.recordAnnouncement({ ...COLD_FLEET.server, coldMilliseconds }, now);
  }

  #step(): void {
    const step = Math.round(this.time / STEP_MILLISECONDS);
    for (const action of this.#due.get(step) ?? []) action();
    this.#due.delete(step);
    if (this.time % CHECK_MILLISECONDS === 0) this.#checkViews();
    if (this.time % PARTS_MILLISECONDS === 0) this.#addUpParts();
    for (const gateway of this.gateways) {
      if (this.time >= gateway.endsAt || gateway.isFrozen) continue;
      const isUp = this.time < this.#coldUntil;
      if (
        isUp && gateway.frozen && isLastStep(this.time, gateway.frozen.from)
      ) {
        // A request that is counted now leaves the host after the freeze.
        if (gateway.trySend()) this.arrivals.push(gateway.frozen.to);
        continue;
      }
      if (!gateway.isCut) gateway.stayInTouch();
      if (this.time >= gateway.nextPresenceAt) this.#sendPresence(gateway);
      if (!isUp || !gateway.trySend()) continue;
      this.arrivals.push(this.time + 1 + 7 * this.random());
    }
  }

  #sendPresence(gateway: SimulatedGateway): void {
    const presence = gateway.createPresence();
    if (gateway.isCut) return;
    for (const index of gateway.follows) {
      this.after(this.#delay(), () => {
        const control = this.controlHosts[index]!;
        const isKnown = control.census.record(presence, 0, this.time);
        this.#forward(control, presence);
        if (!isKnown || gateway.isCut) return;
        control.sessions.set(gateway, presence.sequence);
        this.#tell(control, gateway);
      });
    }
  }

  #forward(
    from: SimulatedControlHost,
    presence: GatewayPresence,
  ): void {
    for (const other of this.controlHosts) {
      if (other === from) continue;
      this.after(FORWARD_MILLISECONDS + this.#delay(), () => {
        if (other.side !== from.side) return;
        other.census.record(presence, 0, this.time);
      });
    }
  }

  #addUpParts(): void {
    let sum = 0;
    for (const { told, endsAt, now } of this.gateways) {
      if (this.time >= endsAt || told.count(now) === undefined) continue;
      sum +=
        told.findPart(COLD_FLEET.server.instance, COLD_FLEET.slots).requests;
    }
    this.mostParts = Math.max(this.mostParts, sum);
  }

  #checkViews(): void {
    for (const control of this.controlHosts) {
      control.census.observe(this.time);
      const view = control.census.view(this.time);
      const hasChanged = view !== control.told;
      control.told = view;
      if (!hasChanged) continue;
      for (const gateway of control.sessions.keys()) {
        this.#tell(control, gateway);
      }
    }
  }

  #tell(control: SimulatedControlHost, gateway: SimulatedGateway): void {
    if (!control.hasLeader || !control.census.isUpToDate(this.time)) return;
    const view = control.census.view(this.time);
    if (!view.heard.includes(hashText(gateway.name))) return;
    const sequence = control.sessions.get(gateway)!;
    const read = () => {
      if (gateway.isCut || this.time >= gateway.endsAt) return;
      if (!gateway.isFrozen) return gateway.told.recordTold(view, sequence);
      const wait = gateway.frozen!.to - this.time + READ_MILLISECONDS;
      this.after(wait, () => gateway.told.recordTold(view, sequence));
    };
    this.after(this.#delay(), read);
  }

  #delay(): number {
    return STEP_MILLISECONDS + MAX_DELAY_MILLISECONDS * this.random();
  }
}

function isLastStep(time: number, end: number): boolean {
  return time < end && time + STEP_MILLISECONDS >= end;
}
