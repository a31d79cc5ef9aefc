import type * as z from "zod";

/** Describes the first issue that a schema reports: its field and reason. */
export function describeIssue(
  error: z.ZodError,
): { field: string; detail: string } {
  const issue = error.issues[0]!;
  const path = issue.path.join(".") || "body";
  const field = issue.code === "unrecognized_keys"
    ? issue.keys.join(", ")
    : path;
  return { field, detail: `${field}: ${issue.message}` };
}
