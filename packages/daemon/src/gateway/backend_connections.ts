import { BackendAgent } from "./backend_agent.ts";

/** Well above what one host has under way at one backend server. */
const MOST_SOCKETS = 64;

/** The connections to backend servers, by address. */
export class BackendConnections {
  #agents = new Map<string, BackendAgent>();

  agentFor(address: string): BackendAgent {
    let agent = this.#agents.get(address);
    if (agent === undefined) {
      agent = new BackendAgent(MOST_SOCKETS);
      this.#agents.set(address, agent);
    }
    return agent;
  }

  /** Whether any connection there is open now, used or idle. */
  hasOpen(address: string): boolean {
    return this.#agents.get(address)?.hasOpen ?? false;
  }

  /**
   * Closes idle connections to addresses that are not in use any more. What
   * is under way there goes on: a backend server that leaves ends its work.
   */
  keep(addresses: Set<string>): void {
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
