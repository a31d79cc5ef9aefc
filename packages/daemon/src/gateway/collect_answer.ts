import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

type Collected =
  | { kind: "whole"; bytes: Buffer }
  /** More than is collected: the rest is still to come, and paused. */
  | { kind: "large"; bytes: Buffer }
  | { kind: "broken" };

/** Reads an answer to its end, or to `mostBytes` of it. */
export function collectAnswer(
  message: IncomingMessage,
  mostBytes: number,
): Promise<Collected> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const settle = (collected: Collected) => {
      message.off("data", take);
      message.off("end", end);
      message.off("close", broken);
      resolve(collected);
    };
    const broken = () => settle({ kind: "broken" });
    const end = () =>
      settle(
        message.complete
          ? { kind: "whole", bytes: Buffer.concat(parts) }
          : { kind: "broken" },
      );
    const take = (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      if (bytes <= mostBytes) return;
      message.pause();
      settle({ kind: "large", bytes: Buffer.concat(parts) });
    };
    message.on("data", take);
    message.once("end", end);
    message.once("close", broken);
  });
}
