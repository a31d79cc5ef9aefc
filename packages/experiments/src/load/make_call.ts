import { request as send } from "node:http";
import { computeExpectedAnswer } from "../fakes/expected_answer.ts";
import { FakeService } from "../fakes/fake_service.ts";
import { readAll } from "../fakes/read_all.ts";
import type { CallResult } from "./call_result.ts";

type Call = {
  entry: string;
  workspace: string;
  service: string;
  body: string;
  idempotencyKey: string | undefined;
  deadlineMilliseconds: number;
  /**
   * Digest of each published version's weights; undefined for a service without
   * weights.
   */
  weightDigests: Record<string, string> | undefined;
};

function checkAnswer(
  call: Call,
  version: string,
  text: string,
): CallResult["kind"] {
  if (call.weightDigests === undefined) {
    return text === FakeService.computeAnswer(call.body) ? "whole" : "wrong";
  }
  const digest = call.weightDigests[version];
  if (digest === undefined) return "wrong";
  return text === computeExpectedAnswer(digest, call.body).join("")
    ? "whole"
    : "wrong";
}

/** Makes one call and checks its answer byte for byte. */
export function makeCall(call: Call): Promise<CallResult> {
  const startedAt = performance.now();
  const elapsed = () => performance.now() - startedAt;
  const createCutResult = (reason: string): CallResult => ({
    kind: "cut",
    detail: `${reason} after ${Math.round(elapsed())} ms`,
  });
  return new Promise((resolve) => {
    const request = send(`${call.entry}/v1/services/${call.service}/run`, {
      method: "POST",
      headers: {
        "Teaselrouter-Workspace": call.workspace,
        "Teaselrouter-Deadline-Ms": String(call.deadlineMilliseconds),
        ...(call.idempotencyKey === undefined
          ? {}
          : { "Idempotency-Key": call.idempotencyKey }),
      },
    });
    request.on("error", (error) => {
      // An error while connecting, such as a refused or reset connection,
      // comes before any byte of the call is sent.
      const { syscall } = error as { syscall?: string };
      resolve(
        syscall === "connect"
          ? { kind: "unreached" }
          : createCutResult(error.message),
      );
    });
    request.on("response", async (response) => {
      try {
        const text = (await readAll(response)).toString("utf8");
        if (response.statusCode !== 200) {
          const retryAfter = Number(response.headers["retry-after"] ?? 0);
          return resolve({
            kind: "refused",
            reason: JSON.parse(text).type,
            outcome: String(response.headers["teaselrouter-outcome"]),
            retryAfterMilliseconds: retryAfter * 1_000,
            milliseconds: elapsed(),
          });
        }
        const version = String(response.headers["teaselrouter-weights"] ?? "");
        const kind = checkAnswer(call, version, text);
        resolve(
          kind === "whole"
            ? { kind, version, milliseconds: elapsed() }
            : { kind: "wrong", detail: `${call.service} ${version}` },
        );
      } catch (error) {
        resolve(createCutResult(String(error)));
      }
    });
    request.end(call.body);
  });
}
