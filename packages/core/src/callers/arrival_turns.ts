/** In a turn of the event loop. */
const MAX_FIRST_PACKETS = 4;

/**
 * Which new connections are read in a turn of the event loop. Answers crowds
 * that send at once: the first packet of a connection is parsed whole, whatever
 * is in it, and nothing else is done meanwhile. Once some were read, all other
 * connections that have sent nothing yet are halted. They go on few by few, in
 * the order in which they came.
 */
export class ArrivalTurns<Connection> {
  #firstPackets = 0;
  /** Connections of which no request was read, and which may send one now. */
  #open = new Set<Connection>();
  #halted = new Set<Connection>();

  /** Whether a further turn is to begin. */
  get needsTurn(): boolean {
    return this.#firstPackets > 0 || this.#halted.size > 0;
  }

  arrive(connection: Connection): void {
    this.#open.add(connection);
  }

  leave(connection: Connection): void {
    this.#open.delete(connection);
    this.#halted.delete(connection);
  }

  /** A request was read on a connection; returns those to halt now. */
  countRead(connection: Connection): Connection[] {
    if (!this.#open.delete(connection)) return [];
    this.#firstPackets += 1;
    if (this.#firstPackets < MAX_FIRST_PACKETS) return [];
    const halting = [...this.#open];
    for (const each of halting) this.#halted.add(each);
    this.#open.clear();
    return halting;
  }

  /** Begins a turn; returns those that go on in it. */
  beginTurn(): Connection[] {
    this.#firstPackets = 0;
    const going: Connection[] = [];
    for (const connection of this.#halted) {
      if (going.length === MAX_FIRST_PACKETS) break;
      this.#halted.delete(connection);
      this.#open.add(connection);
      going.push(connection);
    }
    return going;
  }
}
