import { RANKS } from "./ranks.ts";

/** Requests that wait for their first event at one place, by rank. */
export class RankCounts {
  #requests = new Array<number>(RANKS).fill(0);
  #promptTokens = new Array<number>(RANKS).fill(0);

  add(rank: number, requests: number, promptTokens: number): void {
    this.#requests[rank]! += requests;
    this.#promptTokens[rank]! += promptTokens;
  }

  /**
   * Moves each count a part of the way to another's.
   *
   * @param weight 0 to 1.
   */
  approach(other: RankCounts, weight: number): void {
    for (let rank = 0; rank < RANKS; rank += 1) {
      this.#requests[rank]! += weight *
        (other.#requests[rank]! - this.#requests[rank]!);
      this.#promptTokens[rank]! += weight *
        (other.#promptTokens[rank]! - this.#promptTokens[rank]!);
    }
  }

  get isEmpty(): boolean {
    return this.requestsUpTo(RANKS - 1) === 0;
  }

  requestsUpTo(rank: number): number {
    return sumFrom(this.#requests, 0, rank + 1);
  }

  requestsBehind(rank: number): number {
    return sumFrom(this.#requests, rank + 1, RANKS);
  }

  promptTokensBehind(rank: number): number {
    return sumFrom(this.#promptTokens, rank + 1, RANKS);
  }
}

function sumFrom(values: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let index = from; index < to; index += 1) sum += values[index]!;
  return sum;
}
