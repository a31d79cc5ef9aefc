import { contractContentSchema } from "@teaselrouter/core/contracts/contract_content_schema.ts";
import type { ContractRow } from "@teaselrouter/core/contracts/contract_row.ts";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import { describeDifference } from "../output/describe_difference.ts";
import type { CommandResult } from "./command_result.ts";
import type { ContractReply } from "./contract_reply.ts";
import { failCommand } from "./fail_command.ts";

type Change = {
  workspace: string;
  kind: "create" | "change" | "retire";
  /** Fields to set; the rest stay as they are. */
  fields: Record<string, unknown>;
  /** Number that the change expects to replace; read when not given. */
  expected: number | undefined;
  dryRun: boolean;
};

function usage(text: string): CommandResult {
  return {
    exit: exitCode.usage,
    text,
    json: { error: text, outcome: "usage" },
  };
}

function refused(text: string, stands: unknown): CommandResult {
  return {
    exit: exitCode.refused,
    text,
    json: { error: text, outcome: "refused", stands },
  };
}

/** Creates, changes or retires a contract, and waits until it is in force. */
export async function changeContract(
  client: OperatorClient,
  change: Change,
): Promise<CommandResult> {
  const path = `contracts/${encodeURIComponent(change.workspace)}`;
  const standing = await client.get<{ row: ContractRow }>(path);
  const missing = standing.isErr && standing.error.message.includes("none");
  if (standing.isErr && !missing) return failCommand(standing.error);
  const row = standing.isOk ? standing.value.row : undefined;
  if (change.kind !== "create" && row === undefined) {
    return refused(`no contract stands for "${change.workspace}"`, undefined);
  }
  const isLive = row !== undefined && !row.retired;
  if (change.kind === "create" && isLive && change.expected === undefined) {
    return refused(`a contract stands for "${change.workspace}"`, row);
  }
  const base = change.kind === "create" ? {} : row!.content;
  const checked = contractContentSchema.safeParse({
    ...base,
    ...change.fields,
  });
  if (!checked.success) {
    const issue = checked.error.issues[0]!;
    return usage(`${issue.path.join(".") || "contract"}: ${issue.message}`);
  }
  const differences = describeDifference(
    change.kind === "create" ? undefined : row!.content,
    checked.data,
  );
  if (change.dryRun) return dryRun(change, differences);
  const reply = await client.put<ContractReply>(path, {
    expected: change.expected ?? row?.number ?? 0,
    content: checked.data,
    retired: change.kind === "retire",
  });
  if (reply.isErr) return failCommand(reply.error);
  return done(change, reply.value, differences);
}

function dryRun(change: Change, differences: string[]): CommandResult {
  const lines = [`would ${change.kind} ${change.workspace}:`, ...differences];
  return {
    exit: exitCode.done,
    text: lines.join("\n"),
    json: { dry_run: true, differences },
  };
}

function done(
  change: Change,
  reply: ContractReply,
  differences: string[],
): CommandResult {
  const away = reply.hosts_without_lease;
  const force = reply.in_force
    ? "in force on every entry host with a lease"
    : "accepted; not yet confirmed in force";
  const lines = [
    `${change.workspace}: number ${reply.stands.number}, ${force}`,
    ...differences,
  ];
  if (away.length > 0) {
    lines.push(`cut off, on guaranteed shares only: ${away.join(", ")}`);
  }
  return { exit: exitCode.done, text: lines.join("\n"), json: reply };
}
