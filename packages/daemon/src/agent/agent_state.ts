import { Subject } from "rxjs";
import { BackendPushback } from "./backend_pushback.ts";
import type { BackendServer } from "./backend_server.ts";

/**
 * Longer than the second between announcements and a silence of two seconds: a
 * backend server that goes on then is not refused calls, nor its pause forgotten.
 */
const SILENCE_TIMEOUT_MILLISECONDS = 4_000;

/** State of the agent's backend server, shared by the agent's parts. */
export class AgentState {
  /** Emits when something that is announced to entry hosts has changed. */
  readonly changed$ = new Subject<void>();
  /** The backend server's last announcement; undefined before the first. */
  backend: BackendServer | undefined;
  /** Complete version that the engine serves; empty for none. */
  servingVersion = "";
  /** Rises whenever the weights that the engine serves may have changed. */
  weightsEpoch = 0;
  /** What the backend server asks for in its answers. */
  readonly pushback = new BackendPushback();
  #loading = false;
  #stopping = false;
  #announcedAt = 0;

  constructor() {
    this.pushback.changes$.subscribe(() => this.changed$.next());
  }

  /** @param now Unix milliseconds. */
  recordAnnouncement(backend: BackendServer, now: number): void {
    const before = JSON.stringify(this.backend);
    const wasSilent = this.isSilent(now);
    const isNewStart = backend.started_at !== this.backend?.started_at ||
      backend.address !== this.backend?.address;
    if (wasSilent || isNewStart) this.pushback.reset();
    this.backend = backend;
    this.#announcedAt = now;
    if (wasSilent || before !== JSON.stringify(backend)) this.changed$.next();
  }

  /**
   * Whether the backend server has stopped announcing itself.
   *
   * @param now Unix milliseconds.
   */
  isSilent(now: number): boolean {
    return now - this.#announcedAt > SILENCE_TIMEOUT_MILLISECONDS;
  }

  setLoading(loading: boolean): void {
    this.#loading = loading;
    this.changed$.next();
  }

  /**
   * To be called before a load is ordered: from then on the engine may answer
   * from other weights.
   */
  recordLoadOrder(): void {
    this.weightsEpoch += 1;
  }

  setServing(version: string): void {
    this.servingVersion = version;
    this.weightsEpoch += 1;
    this.changed$.next();
  }

  stop(): void {
    this.#stopping = true;
    this.changed$.next();
  }

  get isStopping(): boolean {
    return this.#stopping;
  }

  /**
   * Why calls are refused now; undefined while they are accepted.
   *
   * @param now Unix milliseconds.
   */
  refusalReason(now: number): string | undefined {
    if (this.#stopping) return "stopping";
    if (this.backend === undefined || this.isSilent(now)) {
      return "backend-server-silent";
    }
    const pushback = this.pushback.closedRefusal;
    if (pushback !== undefined) return pushback.reason;
    if (this.#loading) return "loading";
    if (this.backend.uses_weights && this.servingVersion === "") {
      return "no-complete-model";
    }
    return undefined;
  }
}
