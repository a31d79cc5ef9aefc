import type { BackendServerRow } from "./backend_server_row.ts";

const HEARTBEAT_TIMEOUT_MILLISECONDS = 2_500;

/** The backend servers whose agents announce them to this entry host. */
export class BackendServerTable {
  #rows = new Map<string, BackendServerRow>();

  get(backendServer: string): BackendServerRow | undefined {
    return this.#rows.get(backendServer);
  }

  set(row: BackendServerRow): void {
    this.#rows.set(row.backendServer, row);
  }

  delete(backendServer: string): void {
    this.#rows.delete(backendServer);
  }

  all(): BackendServerRow[] {
    return [...this.#rows.values()];
  }

  ofService(service: string): BackendServerRow[] {
    return this.all().filter((row) => row.service === service);
  }

  /** Whether a message from the agent arrived within the timeout. */
  isLive(row: BackendServerRow, now: number): boolean {
    return now - row.heardAt < HEARTBEAT_TIMEOUT_MILLISECONDS;
  }
}
