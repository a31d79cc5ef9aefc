import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import type { Problem } from "./problem.ts";

type Limits = { maximumBytes: number; idleMilliseconds: number };

function tooLarge(limits: Limits): Problem {
  return {
    status: 413,
    type: "body-too-large",
    field: "body",
    detail: `the body is larger than the ${limits.maximumBytes} bytes allowed`,
    outcome: "not-run",
  };
}

const SILENT: Problem = {
  status: 408,
  type: "request-incomplete",
  field: "body",
  detail: "the request stopped before its end",
  outcome: "not-run",
};

/** Reads a request's body whole, within size and silence limits. */
export function readBody(
  request: IncomingMessage,
  limits: Limits,
): Promise<Result<Buffer, Problem>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const settle = (result: Result<Buffer, Problem>) => {
      clearTimeout(timer);
      request.off("data", take);
      request.resume();
      resolve(result);
    };
    const silent = () => settle(Result.err(SILENT));
    let timer = setTimeout(silent, limits.idleMilliseconds);
    const take = (part: Buffer) => {
      bytes += part.length;
      if (bytes > limits.maximumBytes) {
        return settle(Result.err(tooLarge(limits)));
      }
      parts.push(part);
      clearTimeout(timer);
      timer = setTimeout(silent, limits.idleMilliseconds);
    };
    request.on("data", take);
    request.once("end", () => settle(Result.ok(Buffer.concat(parts))));
    request.once("error", silent);
    request.once("close", silent);
  });
}
