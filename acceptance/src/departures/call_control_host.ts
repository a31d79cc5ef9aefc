import { request } from "node:http";

const TIMEOUT_MILLISECONDS = 1_000;

/**
 * One call to one control host; the status is 0 without an answer in a second.
 * `onStatus` is called as soon as the status is read.
 */
export function callControlHost(
  url: string,
  method: string,
  body?: unknown,
  onStatus: (status: number) => void = () => {},
): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = request(url, { method }, (response) => {
      const { statusCode = 0 } = response;
      onStatus(statusCode);
      response.on("error", () => undefined);
      response.resume();
      resolve(statusCode);
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error("no answer")),
      TIMEOUT_MILLISECONDS,
    );
    outgoing.on("error", () => resolve(0));
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
