/**
 * Tracks which chunks of one version a host holds, or in a `SpreadTable` which
 * blocks.
 */
export class ChunkSet {
  #held: Uint8Array;
  #count = 0;

  constructor(total: number) {
    this.#held = new Uint8Array(total);
  }

  get total(): number {
    return this.#held.length;
  }

  get count(): number {
    return this.#count;
  }

  get isComplete(): boolean {
    return this.#count === this.total;
  }

  has(chunk: number): boolean {
    return this.#held[chunk] === 1;
  }

  /** Returns false if the chunk is out of range or held already. */
  add(chunk: number): boolean {
    if (chunk >= this.total || this.has(chunk)) return false;
    this.#held[chunk] = 1;
    this.#count += 1;
    return true;
  }

  /** Returns up to `limit` missing chunks from `start`, wrapping around. */
  missingFrom(start: number, limit: number): number[] {
    const chunks: number[] = [];
    let chunk = this.#held.indexOf(0, start);
    while (chunk >= 0 && chunks.length < limit) {
      chunks.push(chunk);
      chunk = this.#held.indexOf(0, chunk + 1);
    }
    chunk = this.#held.indexOf(0);
    while (chunk >= 0 && chunk < start && chunks.length < limit) {
      chunks.push(chunk);
      chunk = this.#held.indexOf(0, chunk + 1);
    }
    return chunks;
  }

  missing(): number[] {
    return this.missingFrom(0, this.total);
  }

  held(): number[] {
    const chunks: number[] = [];
    for (let chunk = 0; chunk < this.total; chunk += 1) {
      if (this.has(chunk)) chunks.push(chunk);
    }
    return chunks;
  }
}
