import { BackendAgent } from "./backend_agent.ts";

/** Well above what one host has in flight at one backend server. */
const MAX_SOCKETS_PER_BACKEND = 64;

/** Connections to backend servers, by address. */
export class BackendConnections {
  #agents = new Map<string, BackendAgent>();

  agentFor(address: string): BackendAgent {
    let agent = this.#agents.get(address);
    if (agent === undefined) {
      agent = new BackendAgent(MAX_SOCKETS_PER_BACKEND);
      this.#agents.set(address, agent);
    }
    return agent;
  }

  /** Whether any connection to the address is open, in use or idle. */
  hasOpen(address: string): boolean {
    return this.#agents.get(address)?.hasOpen ?? false;
  }

  /**
   * Closes idle connections to addresses that are no longer in use. Requests in
   * flight there go on: a backend server that leaves finishes its work.
   */
  retainOnly(addresses: Set<string>): void {
    for (const [address, agent] of [...this.#agents]) {
      if (addresses.has(address)) continue;
      agent.closeIdle();
      if (agent.isUnused) this.#agents.delete(address);
    }
  }

  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}
