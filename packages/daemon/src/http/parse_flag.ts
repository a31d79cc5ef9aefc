import { collectHeader } from "./collect_header.ts";

/** Whether a flag is set, and its header as received if part was ignored. */
type Flag = { isSet: boolean; unreadable: string | undefined };

const NOT_SET: Flag = { isSet: false, unreadable: undefined };

/**
 * Parses a header that is 1 or missing, once or repeated. Any other value is
 * ignored.
 */
export function parseFlag(raw: readonly string[], name: string): Flag {
  const values = collectHeader(raw, name).flatMap((value) => value.split(","))
    .map((value) => value.trim());
  if (values.length === 0) return NOT_SET;
  const isPlain = values.every((value) => value === "1");
  return {
    isSet: values.includes("1"),
    unreadable: isPlain ? undefined : `${name}=${values.join("|")}`,
  };
}
