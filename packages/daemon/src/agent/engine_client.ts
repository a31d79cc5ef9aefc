import { parseJson } from "../http/parse_json.ts";
import { Result } from "true-myth";
import * as z from "zod";
import { readTextWithin } from "../http/read_text_within.ts";
import type { BackendPushback } from "./backend_pushback.ts";
import { STATE_UNREADABLE } from "./state_unreadable.ts";

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const PROBE_PATH = "/v1/probe";
const MAX_ANSWER_BYTES = 65_536;

const stateSchema = z.object({
  /** Version that is loaded completely; empty for none. */
  version: z.string(),
  loading: z.boolean(),
  fencing_token: z.number(),
});

type EngineState = z.infer<typeof stateSchema>;

type LoadOrder = {
  version: string;
  /** HTTP URL on the engine's own host from which it reads the weights. */
  source: string;
  fencingToken: number;
};

/**
 * HTTP client of the engine, that is of the backend server on this host: orders
 * loads and reads the engine's state.
 */
export class EngineClient {
  #address: () => string | undefined;
  #pushback: BackendPushback;

  /**
   * @param address of the engine; undefined while it is not known.
   * @param pushback records what the engine's answers ask for.
   */
  constructor(
    address: () => string | undefined,
    pushback: BackendPushback,
  ) {
    this.#address = address;
    this.#pushback = pushback;
  }

  async readState(): Promise<Result<EngineState, string>> {
    const answer = await this.#call("GET", "/v1/state");
    if (answer.isErr) return Result.err(answer.error);
    const text = await readTextWithin(answer.value, MAX_ANSWER_BYTES)
      .catch(() => undefined);
    if (text === undefined) return Result.err("engine-state-incomplete");
    const parsed = stateSchema.safeParse(parseJson(text).unwrapOr(undefined));
    return parsed.success
      ? Result.ok(parsed.data)
      : Result.err(STATE_UNREADABLE);
  }

  async load(order: LoadOrder): Promise<Result<void, string>> {
    const answer = await this.#call("POST", "/v1/load", {
      version: order.version,
      source: order.source,
      fencing_token: order.fencingToken,
    });
    if (answer.isErr) return Result.err(answer.error);
    // What it says besides its status is of no use, or its end.
    await answer.value.body?.cancel().catch(() => undefined);
    return answer.value.ok
      ? Result.ok(undefined)
      : Result.err(`load-refused-${answer.value.status}`);
  }

  /**
   * Makes a test call to the engine.
   *
   * @returns the version that the engine answered with; empty if it named none.
   */
  async probe(): Promise<Result<string, string>> {
    const answer = await this.#call("POST", PROBE_PATH, {});
    if (answer.isErr) return Result.err(answer.error);
    await readTextWithin(answer.value, MAX_ANSWER_BYTES).catch(() => "");
    return answer.value.ok
      ? Result.ok(answer.value.headers.get("engine-version") ?? "")
      : Result.err(`probe-${answer.value.status}`);
  }

  async #call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Result<Response, string>> {
    const address = this.#address();
    if (address === undefined) return Result.err("engine-not-announced");
    try {
      const answer = await fetch(`http://${address}${path}`, {
        method,
        headers: { "Content-Type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
      });
      const { status } = answer;
      const rawHeaders = [...answer.headers].flat();
      this.#pushback.recordAnswer({ status, rawHeaders });
      return Result.ok(answer);
    } catch (error) {
      return Result.err(error instanceof Error ? error.message : String(error));
    }
  }
}
