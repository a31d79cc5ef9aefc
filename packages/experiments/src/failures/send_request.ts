type Answer = {
  status: number;
  outcome: string;
  retryAfter: string | null;
  weights: string | null;
  body: string;
  json: Record<string, unknown>;
};

type Question = {
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  milliseconds?: number;
};

const MOST_MILLISECONDS = 10_000;

/** One HTTP request with everything a test looks at in the answer. */
export async function ask(url: string, question: Question): Promise<Answer> {
  const answer = await fetch(url, {
    method: question.method ?? "POST",
    headers: question.headers,
    body: question.body,
    signal: AbortSignal.timeout(question.milliseconds ?? MOST_MILLISECONDS),
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
