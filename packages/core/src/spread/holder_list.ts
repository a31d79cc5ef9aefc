/**
 * Lists the hosts that hold one chunk. Adding a holder and reading one by its
 * index take constant time.
 */
export class HolderList {
  #names: string[] = [];

  get count(): number {
    return this.#names.length;
  }

  add(name: string): void {
    this.#names.push(name);
  }

  remove(name: string): void {
    const index = this.#names.indexOf(name);
    if (index < 0) return;
    const last = this.#names.pop()!;
    if (index < this.#names.length) this.#names[index] = last;
  }

  /** Returns the holder at `index`, which wraps around at the list's end. */
  at(index: number): string {
    return this.#names[index % this.#names.length]!;
  }
}
