import { Buffer } from "node:buffer";
import { Agent, type ClientRequest, get, type RequestOptions } from "node:http";
import { Result } from "true-myth";
import { clampTimer } from "../transport/clamp_timer.ts";
import type { LinkPacer } from "./link_pacer.ts";

const STALL_TIMEOUT_MILLISECONDS = 1_500;
/** A source that sends less is left, also if it never stalls. */
const MIN_BYTES_PER_SECOND = 1_024;
const MILLISECONDS_PER_SECOND = 1_000;
const peerAgent = new Agent({ keepAlive: true, maxSockets: 16 });

/**
 * The weight store accepts few connections from all hosts together. An idle
 * connection kept open here would take one from a host that needs it.
 */
const storeAgent = new Agent({ keepAlive: false, maxSockets: 4 });

type Options = {
  url: string;
  headers: Record<string, string>;
  expectedBytes: number;
  pacer: LinkPacer;
  signal: AbortSignal;
  /** Whether `url` is at the weight store, not at another host. */
  isFromStore: boolean;
};

/**
 * Fetches exactly `expectedBytes` over HTTP at the rate that `pacer` allows.
 * Fails with a short reason. A source that stops sending without closing the
 * connection fails as stalled, so that the caller can try another source.
 */
export function fetchBytes(options: Options): Promise<Result<Buffer, string>> {
  const { url, headers, expectedBytes, pacer, signal } = options;
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const settle = (result: Result<Buffer, string>) => {
      clearTimeout(timer);
      clearTimeout(slowTimer);
      resolve(result);
    };
    const agent = options.isFromStore ? storeAgent : peerAgent;
    const opened = openRequest(url, { agent, headers, signal });
    if (opened.isErr) return resolve(Result.err(opened.error));
    const request = opened.value;
    const fail = (reason: string) => {
      settle(Result.err(reason));
      request.destroy();
    };
    const onStall = () => fail("stalled");
    let timer = setTimeout(onStall, STALL_TIMEOUT_MILLISECONDS);
    const slowTimer = setTimeout(
      () => fail("slow"),
      clampTimer(
        STALL_TIMEOUT_MILLISECONDS +
          expectedBytes * MILLISECONDS_PER_SECOND / MIN_BYTES_PER_SECOND,
      ),
    );
    request.on("error", (error) => settle(Result.err(error.message)));
    request.on("close", () => settle(Result.err("closed")));
    request.on("response", (response) => {
      const status = response.statusCode ?? 0;
      if (status !== 200 && status !== 206) return fail(`status-${status}`);
      response.on("data", (part: Buffer) => {
        timer.refresh();
        parts.push(part);
        bytes += part.length;
        if (bytes > expectedBytes) return fail("too-long");
        const delayMilliseconds = pacer.reserve(part.length);
        if (delayMilliseconds === 0) return;
        // Pacing on this host must not count as a stall of the source.
        clearTimeout(timer);
        response.pause();
        setTimeout(() => {
          timer = setTimeout(onStall, STALL_TIMEOUT_MILLISECONDS);
          response.resume();
        }, delayMilliseconds);
      });
      response.on("error", (error) => settle(Result.err(error.message)));
      response.on("end", () => {
        if (bytes !== expectedBytes) return settle(Result.err("cut-short"));
        settle(Result.ok(Buffer.concat(parts, bytes)));
      });
    });
  });
}

/** Node.js throws for a URL that can't be right. */
function openRequest(
  url: string,
  options: RequestOptions,
): Result<ClientRequest, string> {
  try {
    return Result.ok(get(url, options));
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}
