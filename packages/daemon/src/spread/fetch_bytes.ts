import { Buffer } from "node:buffer";
import { Agent, get } from "node:http";
import { Result } from "true-myth";
import type { LinkPacer } from "./link_pacer.ts";

const STALLED_MILLISECONDS = 1_500;
const connections = new Agent({ keepAlive: true, maxSockets: 16 });

/**
 * The weight store takes few connections from all hosts together: one kept
 * idle here would be refused to a host that needs it.
 */
const storeConnections = new Agent({ keepAlive: false, maxSockets: 4 });

type Options = {
  url: string;
  headers: Record<string, string>;
  expectedBytes: number;
  pacer: LinkPacer;
  signal: AbortSignal;
  /** Whether it comes from the weight store, not from another host. */
  isFromStore: boolean;
};

/**
 * Fetches bytes by HTTP, paced by this host's link. A source that stops
 * sending without closing is given up: the chunk comes from another.
 */
export function fetchBytes(options: Options): Promise<Result<Buffer, string>> {
  const { url, headers, expectedBytes, pacer, signal } = options;
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const settle = (result: Result<Buffer, string>) => {
      clearTimeout(timer);
      resolve(result);
    };
    const agent = options.isFromStore ? storeConnections : connections;
    const request = get(url, { agent, headers, signal });
    const fail = (reason: string) => {
      settle(Result.err(reason));
      request.destroy();
    };
    const stalled = () => fail("stalled");
    let timer = setTimeout(stalled, STALLED_MILLISECONDS);
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
        const wait = pacer.delayOf(part.length);
        if (wait === 0) return;
        // What this host holds back itself is no silence of the source.
        clearTimeout(timer);
        response.pause();
        setTimeout(() => {
          timer = setTimeout(stalled, STALLED_MILLISECONDS);
          response.resume();
        }, wait);
      });
      response.on("error", (error) => settle(Result.err(error.message)));
      response.on("end", () => {
        if (bytes !== expectedBytes) return settle(Result.err("cut-short"));
        settle(Result.ok(Buffer.concat(parts, bytes)));
      });
    });
  });
}
