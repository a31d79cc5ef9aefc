/**
 * Room for requests that wait behind others on their connections, over all
 * connections of a process; streams of another host count like requests. Answers
 * crowds that have few waiting on each connection, and many on all. Where room
 * is short, the connection goes on which most are waiting.
 */
export class RequestRoom<Connection> {
  #maximum: number;
  #waiting = 0;
  #waitingOn = new Map<Connection, number>();

  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  get waiting(): number {
    return this.#waiting;
  }

  /**
   * Records how many requests of a connection are unanswered, the first of which
   * waits for none. Returns a connection that has to go for others, if any.
   */
  record(connection: Connection, unanswered: number): Connection | undefined {
    const before = this.#waitingOn.get(connection) ?? 0;
    const waiting = Math.max(0, unanswered - 1);
    this.#waiting += waiting - before;
    if (waiting === 0) this.#waitingOn.delete(connection);
    else this.#waitingOn.set(connection, waiting);
    return this.#waiting > this.#maximum ? this.#removeLongest() : undefined;
  }

  /** The connection is closed. */
  remove(connection: Connection): void {
    this.#waiting -= this.#waitingOn.get(connection) ?? 0;
    this.#waitingOn.delete(connection);
  }

  #removeLongest(): Connection | undefined {
    let longest: Connection | undefined;
    let most = 0;
    for (const [connection, waiting] of this.#waitingOn) {
      if (waiting <= most) continue;
      [longest, most] = [connection, waiting];
    }
    if (longest !== undefined) this.remove(longest);
    return longest;
  }
}
