import { Result } from "true-myth";
import { isNestedDeeper } from "./is_nested_deeper.ts";
import { MAX_JSON_DEPTH } from "./max_json_depth.ts";

type Options = {
  /** Whether whoever took the text in has looked at its depth. */
  isDepthChecked?: boolean;
};

/**
 * Parses JSON text. The error is the parser's message, or says that the text is
 * nested too deeply to be parsed: that would take memory many times its size.
 */
export function parseJson(
  text: string,
  { isDepthChecked = false }: Options = {},
): Result<unknown, string> {
  if (!isDepthChecked && isNestedDeeper(text, MAX_JSON_DEPTH)) {
    return Result.err(`nested deeper than ${MAX_JSON_DEPTH} levels`);
  }
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}
