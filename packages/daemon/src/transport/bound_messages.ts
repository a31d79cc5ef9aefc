import type { HeldBody } from "@teaselrouter/core/callers/held_body.ts";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Buffer } from "node:buffer";
import type { Http2ServerRequest } from "node:http2";
import { Readable } from "node:stream";
import type { CallerIntake } from "../http/caller_intake.ts";
import { MessageFrames } from "./message_frames.ts";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

const STREAM_TYPE = "application/connect+";

/**
 * Counts the messages of another process in the room for bodies until they have
 * arrived, see `BodyRoom`. A call whose message finds no room ends.
 */
export function boundMessages(
  request: Http2ServerRequest,
  intake: Pick<CallerIntake, "room" | "countClosed">,
): void {
  const type = request.headers["content-type"] ?? "";
  const frames = type.startsWith(STREAM_TYPE) ? new MessageFrames() : undefined;
  let isGivenUp = false;
  const giveUp = () => {
    isGivenUp = true;
    intake.countClosed("internal");
    request.stream?.destroy();
  };
  const open = () => intake.room.open(monotonicMilliseconds(), giveUp);
  Object.defineProperty(request, Symbol.asyncIterator, {
    value: async function* () {
      let held: HeldBody = open();
      let heldBytes = 0;
      try {
        const parts = Readable.prototype[Symbol.asyncIterator].call(request);
        for await (const part of parts as AsyncIterable<Buffer>) {
          const progress = frames?.push(part) ??
            { hasEnded: false, heldBytes: heldBytes + part.length };
          if (progress.hasEnded) {
            held.release();
            held = open();
            heldBytes = 0;
          }
          const grown = progress.heldBytes - heldBytes;
          ({ heldBytes } = progress);
          const hasRoom = grown === 0 ||
            held.tryGrow(grown, monotonicMilliseconds());
          if (!hasRoom) giveUp();
          if (isGivenUp) throw refuseMessage();
          yield part;
        }
        // A destroyed stream ends like one whose message has arrived.
        if (isGivenUp) throw refuseMessage();
      } finally {
        held.release();
      }
    },
  });
}

function refuseMessage(): ConnectError {
  const reason = "this host holds too many bytes of other messages";
  return new ConnectError(reason, Code.ResourceExhausted);
}
