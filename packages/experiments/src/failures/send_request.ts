type ParsedResponse = {
  status: number;
  outcome: string;
  retryAfter: string | null;
  weights: string | null;
  body: string;
  json: Record<string, unknown>;
};

type RequestOptions = {
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMilliseconds?: number;
};

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Sends one HTTP request, by default a POST with a timeout of 10 s, and returns
 * the parts of the response that tests check. `json` is empty if the body is
 * not JSON.
 */
export async function sendRequest(
  url: string,
  options: RequestOptions,
): Promise<ParsedResponse> {
  const answer = await fetch(url, {
    method: options.method ?? "POST",
    headers: options.headers,
    body: options.body,
    signal: AbortSignal.timeout(
      options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    ),
  });
  const body = await answer.text();
  return {
    status: answer.status,
    outcome: answer.headers.get("teaselrouter-outcome") ?? "",
    retryAfter: answer.headers.get("retry-after"),
    weights: answer.headers.get("teaselrouter-weights"),
    body,
    json: parse(body),
  };
}

function parse(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
}
