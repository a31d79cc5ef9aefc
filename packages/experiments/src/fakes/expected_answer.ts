import { sha256Hex } from "./sha256_hex.ts";

const LINE_COUNT = 12;

/**
 * Returns the lines of the answer that a fake engine with these weights gives
 * to a body. Each line starts with 16 digits of the digest of the weights that
 * the engine holds, so that mixed or partial weights show in every answer.
 */
export function computeExpectedAnswer(
  weightsDigest: string,
  body: string,
): string[] {
  return Array.from(
    { length: LINE_COUNT },
    (_, line) =>
      `${weightsDigest.slice(0, 16)} ${
        sha256Hex([weightsDigest, body, String(line)])
      }\n`,
  );
}
