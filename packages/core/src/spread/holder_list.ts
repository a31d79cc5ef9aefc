/** The holders of one chunk: quick to add to and to pick from at random. */
export class HolderList {
  #names: string[] = [];

  get count(): number {
    return this.#names.length;
  }

  add(name: string): void {
    this.#names.push(name);
  }

  remove(name: string): void {
    const at = this.#names.indexOf(name);
    if (at < 0) return;
    const last = this.#names.pop()!;
    if (at < this.#names.length) this.#names[at] = last;
  }

  /** The holder at a place that wraps around. */
  at(place: number): string {
    return this.#names[place % this.#names.length]!;
  }
}
