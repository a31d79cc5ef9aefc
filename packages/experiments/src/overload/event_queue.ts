type Event = { at: number; order: number; run: () => void };

/** Events in the order of their time; equal times in the order they came. */
export class EventQueue {
  now = 0;
  #heap: Event[] = [];
  #order = 0;

  after(milliseconds: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at: this.now + milliseconds, order: this.#order, run });
    this.#rise(this.#heap.length - 1);
  }

  runUntil(end: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
      const event = this.#heap[0]!;
      const last = this.#heap.pop()!;
      if (this.#heap.length > 0) {
        this.#heap[0] = last;
        this.#sink(0);
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
    const held = this.#heap[left]!;
    this.#heap[left] = this.#heap[right]!;
    this.#heap[right] = held;
  }

  #rise(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(at, parent)) return;
      this.#swap(at, parent);
      at = parent;
    }
  }

  #sink(from: number): void {
    let at = from;
    while (true) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        const inside = child < this.#heap.length;
        if (inside && this.#isBefore(child, least)) least = child;
      }
      if (least === at) return;
      this.#swap(at, least);
      at = least;
    }
  }
}
