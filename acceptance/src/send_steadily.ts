import { performance } from "node:perf_hooks";
import type { EndToEndSystem } from "./end_to_end_system.ts";

/** A request that was sent, and its answer; `status` is 0 without one. */
type SentRequest = {
  id: string;
  gateway: string;
  /** From `performance.now()`, milliseconds. */
  sentAt: number;
  status: number;
  /** The answer's Retry-After, as sent; undefined without one. */
  retryAfter: string | undefined;
};

type Options = {
  gateways: string[];
  milliseconds: number;
  /** Between two requests to each gateway. */
  intervalMilliseconds: number;
};

/** Streams from each gateway at a steady rate; waits for all answers. */
export async function sendSteadily(
  system: EndToEndSystem,
  { gateways, milliseconds, intervalMilliseconds }: Options,
): Promise<SentRequest[]> {
  const requests: Promise<SentRequest>[] = [];
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) {
    for (const gateway of gateways) requests.push(sendOne(system, gateway));
    await new Promise((resolve) => setTimeout(resolve, intervalMilliseconds));
  }
  return await Promise.all(requests);
}

let sentCount = 0;

async function sendOne(
  system: EndToEndSystem,
  gateway: string,
): Promise<SentRequest> {
  const sentAt = performance.now();
  sentCount += 1;
  const id = `steady-${sentCount}`;
  try {
    const { status, headers } = await system.sendRequest("/write/x", {
      id,
      gateway,
      method: "POST",
      body: id,
      headers: { Model: "model-1", "Token-Usage": "100,8" },
    });
    const retryAfter = headers.get("retry-after") ?? undefined;
    return { id, gateway, sentAt, status, retryAfter };
  } catch {
    return { id, gateway, sentAt, status: 0, retryAfter: undefined };
  }
}
