import type { WeightsManifest } from "@teaselrouter/core/spread/weights_manifest.ts";
import { weightsManifestSchema } from "@teaselrouter/core/spread/weights_manifest_schema.ts";
import { Result } from "true-myth";
import { describeIssue } from "../../http/describe_issue.ts";
import { parseJson } from "../../http/parse_json.ts";
import { readTextWithin } from "../../http/read_text_within.ts";
import { invalidRequest } from "../calls/invalid_request.ts";
import type { Problem } from "../../http/problem.ts";

const STORE_TIMEOUT_MILLISECONDS = 5_000;
/** Digests of a quarter of a million chunks. */
const MAX_MANIFEST_BYTES = 16_777_216;

/** Fetches the manifest of a version from its weight store and validates it. */
export async function fetchManifest(
  store: string,
  name: string,
  version: string,
): Promise<Result<WeightsManifest, Problem>> {
  const url = `${store}/manifests/${encodeURIComponent(name)}/${
    encodeURIComponent(version)
  }`;
  const refuse = (detail: string) =>
    Result.err<WeightsManifest, Problem>(invalidRequest("store", detail));
  try {
    const answer = await fetch(url, {
      signal: AbortSignal.timeout(STORE_TIMEOUT_MILLISECONDS),
    });
    if (!answer.ok) {
      await answer.body?.cancel();
      return refuse(`${url} answers ${answer.status}`);
    }
    const text = await readTextWithin(answer, MAX_MANIFEST_BYTES);
    const parsed = parseJson(text);
    if (parsed.isErr) return refuse(`${url} is not JSON: ${parsed.error}`);
    const checked = weightsManifestSchema.safeParse(parsed.value);
    if (!checked.success) return refuse(describeIssue(checked.error).detail);
    if (checked.data.name !== name || checked.data.version !== version) {
      return refuse(`${url} has another name or version`);
    }
    return Result.ok(checked.data);
  } catch (error) {
    const { cause, message } = error as Error & { cause?: { code?: string } };
    return refuse(`${url} can't be read: ${cause?.code ?? message}`);
  }
}
