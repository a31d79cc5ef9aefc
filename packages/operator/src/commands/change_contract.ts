import { contractContentSchema } from "@teaselrouter/core/contracts/contract_content_schema.ts";
import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { describeDifference } from "../output/describe_difference.ts";
import type { CommandResult } from "./command_result.ts";
import type { ContractReply } from "./contract_reply.ts";
import { createFailureResult } from "./create_failure_result.ts";

type Change = {
  workspace: string;
  kind: "create" | "change" | "retire";
  /** Fields to set; the others keep their values. */
  fields: Record<string, unknown>;
  /**
   * Contract number that the change replaces; undefined to replace the number
   * that the entry host currently reports.
   */
  expected: number | undefined;
  dryRun: boolean;
};

function createUsageError(text: string): CommandResult {
  return {
    exit: exitCode.usage,
    text,
    json: { error: text, outcome: "usage" },
  };
}

function createRefusal(text: string, stands: unknown): CommandResult {
  return {
    exit: exitCode.refused,
    text,
    json: { error: text, outcome: "refused", stands },
  };
}

/**
 * Creates, changes or retires a contract. The entry host responds when the
 * change is in force or could not be confirmed as such in time.
 */
export async function changeContract(
  client: OperatorClient,
  change: Change,
): Promise<CommandResult> {
  const path = `contracts/${encodeURIComponent(change.workspace)}`;
  const current = await client.get<{ row: ContractRow }>(path);
  // The entry host's detail for a missing row is "there is none under this
  // name" (operator_api.ts).
  const isMissing = current.isErr && current.error.message.includes("none");
  if (current.isErr && !isMissing) return createFailureResult(current.error);
  const row = current.isOk ? current.value.row : undefined;
  if (change.kind !== "create" && row === undefined) {
    return createRefusal(
      `no contract stands for "${change.workspace}"`,
      undefined,
    );
  }
  const isLive = row !== undefined && !row.retired;
  if (change.kind === "create" && isLive && change.expected === undefined) {
    return createRefusal(`a contract stands for "${change.workspace}"`, row);
  }
  const baseContent = change.kind === "create" ? {} : row!.content;
  const checked = contractContentSchema.safeParse({
    ...baseContent,
    ...change.fields,
  });
  if (!checked.success) {
    const issue = checked.error.issues[0]!;
    return createUsageError(
      `${issue.path.join(".") || "contract"}: ${issue.message}`,
    );
  }
  const differences = describeDifference(
    change.kind === "create" ? undefined : row!.content,
    checked.data,
  );
  if (change.dryRun) return createDryRunResult(change, differences);
  const reply = await client.put<ContractReply>(path, {
    expected: change.expected ?? row?.number ?? 0,
    content: checked.data,
    retired: change.kind === "retire",
  });
  if (reply.isErr) return createFailureResult(reply.error);
  return createAcceptedResult(change, reply.value, differences);
}

function createDryRunResult(
  change: Change,
  differences: string[],
): CommandResult {
  const lines = [`would ${change.kind} ${change.workspace}:`, ...differences];
  return {
    exit: exitCode.done,
    text: lines.join("\n"),
    json: { dry_run: true, differences },
  };
}

function createAcceptedResult(
  change: Change,
  reply: ContractReply,
  differences: string[],
): CommandResult {
  const hostsWithoutLease = reply.hosts_without_lease;
  const state = reply.in_force
    ? "in force on every entry host with a lease"
    : "accepted; not yet confirmed in force";
  const lines = [
    `${change.workspace}: number ${reply.stands.number}, ${state}`,
    ...differences,
  ];
  if (hostsWithoutLease.length > 0) {
    lines.push(
      `cut off, on guaranteed shares only: ${hostsWithoutLease.join(", ")}`,
    );
  }
  return { exit: exitCode.done, text: lines.join("\n"), json: reply };
}
