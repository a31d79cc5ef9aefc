import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Buffer } from "node:buffer";

const WORD_BYTES = 4;

/** Returns pseudorandom bytes that depend only on the seed and the length. */
export function seededBytes(seed: number, length: number): Buffer {
  const words = new Int32Array(Math.ceil(length / WORD_BYTES));
  const generator = xoroshiro128plus(seed);
  for (let index = 0; index < words.length; index += 1) {
    words[index] = generator.next();
  }
  return Buffer.from(words.buffer).subarray(0, length);
}
