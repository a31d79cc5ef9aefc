import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { AnswerWatch } from "../http/answer_watch.ts";

type Collected =
  | { kind: "whole"; bytes: Buffer }
  /**
   * More than is buffered: the rest is still to come, and the message paused.
   */
  | { kind: "large"; bytes: Buffer }
  | { kind: "broken" };

/** Buffers an answer to its end, or until it exceeds `maxBytes`. */
export function collectAnswer(
  message: IncomingMessage,
  answer: AnswerWatch,
  maxBytes: number,
): Promise<Collected> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const settle = (collected: Collected) => {
      message.off("data", onData);
      message.off("end", onEnd);
      message.off("close", onClose);
      resolve(collected);
    };
    const onClose = () => settle({ kind: "broken" });
    const onEnd = () =>
      settle(
        answer.end === "whole"
          ? { kind: "whole", bytes: Buffer.concat(parts) }
          : { kind: "broken" },
      );
    const onData = (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      if (bytes <= maxBytes) return;
      message.pause();
      settle({ kind: "large", bytes: Buffer.concat(parts) });
    };
    message.on("data", onData);
    message.once("end", onEnd);
    message.once("close", onClose);
    message.resume();
  });
}
