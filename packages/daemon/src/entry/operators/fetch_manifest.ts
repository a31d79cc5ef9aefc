import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { weightsManifestSchema } from "@teaselrouter/core/spread/weights_manifest_schema.ts";
import { Result } from "true-myth";
import { describeIssue } from "../../http/describe_issue.ts";
import { invalidRequest } from "../calls/invalid_request.ts";
import type { Problem } from "../../http/problem.ts";

const STORE_MILLISECONDS = 5_000;

/** Reads a version's manifest from its weight store, and checks it. */
export async function fetchManifest(
  store: string,
  name: string,
  version: string,
): Promise<Result<WeightsManifest, Problem>> {
  const url = `${store}/manifests/${encodeURIComponent(name)}/${
    encodeURIComponent(version)
  }`;
  const fault = (detail: string) =>
    Result.err<WeightsManifest, Problem>(invalidRequest("store", detail));
  try {
    const answer = await fetch(url, {
      signal: AbortSignal.timeout(STORE_MILLISECONDS),
    });
    if (!answer.ok) return fault(`${url} answers ${answer.status}`);
    const checked = weightsManifestSchema.safeParse(await answer.json());
    if (!checked.success) return fault(describeIssue(checked.error).detail);
    if (checked.data.name !== name || checked.data.version !== version) {
      return fault(`${url} has another name or version`);
    }
    return Result.ok(checked.data);
  } catch (error) {
    const { cause, message } = error as Error & { cause?: { code?: string } };
    return fault(`${url} can't be read: ${cause?.code ?? message}`);
  }
}
