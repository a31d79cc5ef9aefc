import { Subject } from "rxjs";
import type { BackendServer } from "./backend_server.ts";

const SILENT_MILLISECONDS = 3_000;

/** What an agent's parts share about their backend server. */
export class AgentState {
  /** Something that entry hosts must hear has changed. */
  readonly changed$ = new Subject<void>();
  backend: BackendServer | undefined;
  /** Complete version that the engine serves; empty for none. */
  servingVersion = "";
  /** Counts every time the served weights may have changed. */
  epoch = 0;
  #loading = false;
  #stopping = false;
  #announcedAt = 0;

  announce(backend: BackendServer, now: number): void {
    const before = JSON.stringify(this.backend);
    const wasSilent = this.isSilent(now);
    this.backend = backend;
    this.#announcedAt = now;
    if (wasSilent || before !== JSON.stringify(backend)) this.changed$.next();
  }

  /** Whether the backend server has stopped announcing itself. */
  isSilent(now: number): boolean {
    return now - this.#announcedAt > SILENT_MILLISECONDS;
  }

  setLoading(loading: boolean): void {
    this.#loading = loading;
    this.changed$.next();
  }

  /** From here on the engine may answer from other weights. */
  markOrdered(): void {
    this.epoch += 1;
  }

  setServing(version: string): void {
    this.servingVersion = version;
    this.epoch += 1;
    this.changed$.next();
  }

  stop(): void {
    this.#stopping = true;
    this.changed$.next();
  }

  get isStopping(): boolean {
    return this.#stopping;
  }

  /** Why no call is taken now; undefined when calls are taken. */
  refusal(now: number): string | undefined {
    if (this.#stopping) return "stopping";
    if (this.backend === undefined || this.isSilent(now)) {
      return "backend-server-silent";
    }
    if (this.#loading) return "loading";
    if (this.backend.uses_weights && this.servingVersion === "") {
      return "no-complete-model";
    }
    return undefined;
  }
}
