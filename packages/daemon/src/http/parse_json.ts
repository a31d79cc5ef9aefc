import { Result } from "true-myth";
import { isNestedDeeper } from "./is_nested_deeper.ts";

/** No document of ours or of a platform comes near. */
const MAX_DEPTH = 32;

/**
 * Parses JSON text. The error is the parser's message, or says that the text is
 * nested too deeply to be parsed: that would take memory many times its size.
 */
export function parseJson(text: string): Result<unknown, string> {
  if (isNestedDeeper(text, MAX_DEPTH)) {
    return Result.err(`nested deeper than ${MAX_DEPTH} levels`);
  }
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}
