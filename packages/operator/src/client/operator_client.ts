import { Result } from "true-myth";
import type { CallFailure } from "./call_failure.ts";

const CALL_MILLISECONDS = 15_000;

type Problem = { detail?: string; type?: string };
type Change = {
  accepted?: boolean;
  reason?: string;
  stands?: unknown;
};

/** Speaks to one entry host's operator paths. */
export class OperatorClient {
  #entry: string;

  constructor(entry: string) {
    this.#entry = entry.replace(/\/$/, "");
  }

  /** @returns the answer's JSON, or why there is none. */
  get<Body>(path: string): Promise<Result<Body, CallFailure>> {
    return this.#call<Body>("GET", path);
  }

  /** Sends a change; it is safe to send the same again. */
  put<Body>(path: string, body: unknown): Promise<Result<Body, CallFailure>> {
    return this.#call<Body>("PUT", path, body);
  }

  async #call<Body>(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Result<Body, CallFailure>> {
    let answer: Response;
    let content: unknown;
    try {
      answer = await fetch(`${this.#entry}/v1/operator/${path}`, {
        method,
        headers: { "Content-Type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_MILLISECONDS),
      });
      content = await answer.json();
    } catch (error) {
      return Result.err(this.#transportFailure(error, method));
    }
    if (answer.ok) return Result.ok(content as Body);
    return Result.err(failureOf(answer, content));
  }

  #transportFailure(error: unknown, method: string): CallFailure {
    const cause = (error as { cause?: { code?: string } }).cause;
    const unreached = cause?.code === "ECONNREFUSED" ||
      cause?.code === "ENOTFOUND" || method === "GET";
    return {
      kind: unreached ? "refused" : "unknown",
      message: unreached
        ? `no entry host can be reached at ${this.#entry}`
        : "the answer was lost; send the same command again",
    };
  }
}

function failureOf(answer: Response, content: unknown): CallFailure {
  const outcome = answer.headers.get("teaselrouter-outcome");
  if (answer.status === 409) {
    const { reason, stands } = content as Change;
    return {
      kind: "refused",
      message: reason === "number-replaced"
        ? "another change came first; look at what stands and try again"
        : `refused: ${reason}`,
      stands,
    };
  }
  const { detail, type } = content as Problem;
  const message = detail ?? type ?? `status ${answer.status}`;
  if (outcome === "unknown") return { kind: "unknown", message };
  return { kind: answer.status === 400 ? "usage" : "refused", message };
}
