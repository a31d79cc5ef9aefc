import { Result } from "true-myth";
import type { CallFailure } from "./call_failure.ts";

const CALL_TIMEOUT_MILLISECONDS = 15_000;
/** The status of thousands of hosts has some megabytes. */
const MAX_ANSWER_BYTES = 67_108_864;

type Problem = { detail?: string; type?: string };
type ChangeRefusal = {
  accepted?: boolean;
  reason?: string;
  stands?: unknown;
};

/** HTTP client for the operator paths of one entry host. */
export class OperatorClient {
  #entryUrl: string;

  constructor(entryUrl: string) {
    this.#entryUrl = entryUrl.replace(/\/$/, "");
  }

  /** @returns the parsed JSON response, or why the call failed. */
  get<Body>(path: string): Promise<Result<Body, CallFailure>> {
    return this.#call<Body>("GET", path);
  }

  /** Sends a change. Changes are idempotent: the same one can be sent again. */
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
      answer = await fetch(`${this.#entryUrl}/v1/operator/${path}`, {
        method,
        headers: { "Content-Type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
      });
      content = JSON.parse(await readText(answer));
    } catch (error) {
      return Result.err(this.#toTransportFailure(error, method));
    }
    if (answer.ok) return Result.ok(content as Body);
    return Result.err(toCallFailure(answer, content));
  }

  #toTransportFailure(error: unknown, method: string): CallFailure {
    const cause = (error as { cause?: { code?: string } }).cause;
    // A GET changes nothing, so its outcome is never unknown.
    const hasNoEffect = cause?.code === "ECONNREFUSED" ||
      cause?.code === "ENOTFOUND" || method === "GET";
    return {
      kind: hasNoEffect ? "refused" : "unknown",
      message: hasNoEffect
        ? `no entry host can be reached at ${this.#entryUrl}`
        : "the answer was lost; send the same command again",
    };
  }
}

/** Reads a body; rejects, and closes the connection, if it is too large. */
async function readText(answer: Response): Promise<string> {
  const decoder = new TextDecoder();
  let text = "";
  for await (const part of answer.body ?? []) {
    text += decoder.decode(part, { stream: true });
    if (text.length > MAX_ANSWER_BYTES) throw new Error("too large an answer");
  }
  return text + decoder.decode();
}

function toCallFailure(answer: Response, content: unknown): CallFailure {
  const outcome = answer.headers.get("teaselrouter-outcome");
  if (answer.status === 409) {
    const { reason, stands } = content as ChangeRefusal;
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
