import type { WeightsRow } from "@teaselrouter/core/rollout/weights_row.ts";
import process from "node:process";
import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";
import type { SystemStatus } from "./system_status.ts";

const POLL_INTERVAL_MILLISECONDS = 250;
const MILLISECONDS_PER_SECOND = 1_000;

type Publication = {
  service: string;
  name: string;
  version: string;
  store: string;
  servingShare: number | undefined;
  expected: number | undefined;
  wait: boolean;
};

type Reply = { accepted: boolean; stands: WeightsRow };

/**
 * Publishes a version of weights for a service. With `wait`, returns only when
 * all replicas serve the version, and prints progress to stderr meanwhile.
 */
export async function publishWeights(
  client: OperatorClient,
  publication: Publication,
): Promise<CommandResult> {
  const path = `weights/${encodeURIComponent(publication.service)}`;
  const current = await client.get<{ row: WeightsRow }>(path);
  // The entry host's detail for a missing row is "there is none under this
  // name" (operator_api.ts).
  const isMissing = current.isErr && current.error.message.includes("none");
  if (current.isErr && !isMissing) return createFailureResult(current.error);
  const currentNumber = current.isOk ? current.value.row.number : 0;
  const reply = await client.put<Reply>(path, {
    expected: publication.expected ?? currentNumber,
    name: publication.name,
    version: publication.version,
    store: publication.store,
    serving_share: publication.servingShare,
  });
  if (reply.isErr) return createFailureResult(reply.error);
  const accepted =
    `${publication.service}: number ${reply.value.stands.number}`;
  if (!publication.wait) {
    return { exit: exitCode.done, text: accepted, json: reply.value };
  }
  return await waitUntilLive(client, publication);
}

async function waitUntilLive(
  client: OperatorClient,
  publication: Publication,
): Promise<CommandResult> {
  const version = `${publication.name}@${publication.version}`;
  const startedAt = Date.now();
  while (true) {
    const status = await client.get<SystemStatus>("status");
    const row = status.isOk
      ? status.value.weights.find((row) => row.service === publication.service)
      : undefined;
    if (row !== undefined && row.version !== version) {
      return createFailureResult({
        kind: "refused",
        message: `${row.version} was published over ${version}`,
        stands: row,
      });
    }
    const seconds = (Date.now() - startedAt) / MILLISECONDS_PER_SECOND;
    if (row !== undefined) {
      process.stderr.write(`${formatProgress(row, seconds)}\n`);
    }
    if (row !== undefined && row.live === row.replicas && row.live > 0) {
      const text = `${version} live on ${row.live} replicas after ${
        seconds.toFixed(1)
      } s`;
      return { exit: exitCode.done, text, json: { ...row, seconds } };
    }
    await new Promise((resolve) =>
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS)
    );
  }
}

function formatProgress(
  row: SystemStatus["weights"][number],
  seconds: number,
): string {
  const replicasPerSecond = row.live / Math.max(seconds, 0.001);
  const secondsLeft = replicasPerSecond === 0
    ? "?"
    : ((row.replicas - row.live) / replicasPerSecond).toFixed(1);
  return `${row.version}  live ${row.live}/${row.replicas}  ` +
    `${replicasPerSecond.toFixed(1)} replicas/s  about ${secondsLeft} s left`;
}
