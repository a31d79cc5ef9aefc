type Standing = "unproven" | "busy" | "idle";

type Entry = { standing: Standing; since: number; close: () => void };

/**
 * Room for the connections that a port keeps open. What else a process opens, to
 * backend servers, other hosts and files, comes first. Where room is short, the
 * connection goes that has been open longest without a whole request; if there
 * is none, the one that has been idle longest. None goes whose request has
 * arrived: a new one is then refused.
 */
export class ConnectionRoom<Connection> {
  #maximum: number;
  #entries = new Map<Connection, Entry>();

  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** @param close called when the connection has to go for another. */
  admit(connection: Connection, now: number, close: () => void): boolean {
    if (this.#entries.size >= this.#maximum && !this.#makeRoom()) return false;
    this.#entries.set(connection, { standing: "unproven", since: now, close });
    return true;
  }

  /** A request has arrived; its connection stays until it is answered. */
  markBusy(connection: Connection, now: number): void {
    this.#mark(connection, "busy", now);
  }

  markIdle(connection: Connection, now: number): void {
    this.#mark(connection, "idle", now);
  }

  remove(connection: Connection): void {
    this.#entries.delete(connection);
  }

  #mark(connection: Connection, standing: Standing, now: number): void {
    const entry = this.#entries.get(connection);
    if (entry === undefined) return;
    entry.standing = standing;
    entry.since = now;
  }

  #makeRoom(): boolean {
    const victim = this.#findOldest("unproven") ?? this.#findOldest("idle");
    if (victim === undefined) return false;
    const { close } = this.#entries.get(victim)!;
    this.#entries.delete(victim);
    close();
    return true;
  }

  #findOldest(standing: Standing): Connection | undefined {
    let oldest: Connection | undefined;
    let since = Infinity;
    for (const [connection, entry] of this.#entries) {
      if (entry.standing !== standing || entry.since >= since) continue;
      [oldest, since] = [connection, entry.since];
    }
    return oldest;
  }
}
