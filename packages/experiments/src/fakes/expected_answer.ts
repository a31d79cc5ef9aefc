import { digestOf } from "./digest_of.ts";

const LINES = 12;

/**
 * What the fake engine says: each line marked by the digest of the weights
 * that it really holds, so a mixed or partial model shows in every answer.
 */
export function expectedAnswer(weightsDigest: string, body: string): string[] {
  return Array.from(
    { length: LINES },
    (_, line) =>
      `${weightsDigest.slice(0, 16)} ${
        digestOf([weightsDigest, body, String(line)])
      }\n`,
  );
}
