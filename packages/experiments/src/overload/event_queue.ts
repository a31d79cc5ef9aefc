type Event = { at: number; order: number; run: () => void };

/**
 * Discrete-event queue with a simulated clock. Runs events in order of time,
 * and events of the same time in the order in which they were added.
 */
export class EventQueue {
  /** Simulated time, milliseconds. */
  now = 0;
  #heap: Event[] = [];
  #order = 0;

  /** Schedules `run` in the given time from now. */
  after(milliseconds: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at: this.now + milliseconds, order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all events up to `end` and sets the clock to it. */
  runUntil(end: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
      const event = this.#heap[0]!;
      const last = this.#heap.pop()!;
      if (this.#heap.length > 0) {
        this.#heap[0] = last;
        this.#siftDown(0);
      }
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }

  #isBefore(left: number, right: number): boolean {
    const [one, other] = [this.#heap[left]!, this.#heap[right]!];
    return one.at < other.at ||
      (one.at === other.at && one.order < other.order);
  }

  #swap(left: number, right: number): void {
    const moved = this.#heap[left]!;
    this.#heap[left] = this.#heap[right]!;
    this.#heap[right] = moved;
  }

  #siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(at, parent)) return;
      this.#swap(at, parent);
      at = parent;
    }
  }

  #siftDown(from: number): void {
    let at = from;
    while (true) {
      let earliest = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        const isInHeap = child < this.#heap.length;
        if (isInHeap && this.#isBefore(child, earliest)) earliest = child;
      }
      if (earliest === at) return;
      this.#swap(at, earliest);
      at = earliest;
    }
  }
}
