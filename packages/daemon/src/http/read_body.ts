import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { clampTimer } from "../transport/clamp_timer.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { CallerIntake } from "./caller_intake.ts";
import { CollectedBody } from "./collected_body.ts";
import { drainRefused } from "./drain_refused.ts";
import type { Problem } from "./problem.ts";

type Limits = {
  maximumBytes: number;
  idleMilliseconds: number;
  /** Where its bytes are held, with those of other requests. */
  intake: CallerIntake;
};

/** A body that has arrived. */
type ReadBody = {
  bytes: Buffer;
  /** Has to be called once nobody needs the bytes any more. */
  release: () => void;
};

function bodyTooLarge(maximumBytes: number): Problem {
  return {
    status: 413,
    type: "body-too-large",
    field: "body",
    detail: `the body is larger than the ${maximumBytes} bytes allowed`,
    outcome: "not-run",
  };
}

const TOO_MUCH_HELD: Problem = {
  status: 503,
  type: "too-much-held",
  field: "body",
  detail: "this host holds too many bytes of other requests",
  outcome: "not-run",
};

const INCOMPLETE_REQUEST: Problem = {
  status: 408,
  type: "request-incomplete",
  field: "body",
  detail: "the request stopped before its end",
  outcome: "not-run",
};

/**
 * Reads a whole request body. Fails if the body is larger than the limit, if
 * there is no room for it, if the client sends nothing for the idle time, or if
 * the connection ends early. An announced length says so before the first byte.
 */
export function readBody(
  request: IncomingMessage,
  { maximumBytes, idleMilliseconds, intake }: Limits,
): Promise<Result<ReadBody, Problem>> {
  return new Promise((resolve) => {
    const { room, turns } = intake;
    const { socket } = request;
    const body = new CollectedBody(intake.blocks);
    const held = room.open(
      monotonicMilliseconds(),
      () => finish(Result.err(TOO_MUCH_HELD)),
    );
    let isOver = false;
    const finish = (result: Result<ReadBody, Problem>) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      request.off("data", addPart);
      turns.end(socket);
      if (result.isErr) {
        drainRefused(request, intake);
        held.release();
        body.clear();
      }
      resolve(result);
    };
    const failIncomplete = () => finish(Result.err(INCOMPLETE_REQUEST));
    const timer = setTimeout(failIncomplete, clampTimer(idleMilliseconds));
    const findFault = (bytes: number) => {
      if (bytes > maximumBytes) return bodyTooLarge(maximumBytes);
      return room.couldHold(bytes) ? undefined : TOO_MUCH_HELD;
    };
    const addPart = (part: Buffer) => {
      turns.countPart(socket);
      const bytes = body.bytes + part.length;
      if (bytes > maximumBytes) {
        return finish(Result.err(bodyTooLarge(maximumBytes)));
      }
      const cost = body.costOf(part.length);
      if (cost > 0 && !held.tryGrow(cost, monotonicMilliseconds())) {
        return finish(Result.err(TOO_MUCH_HELD));
      }
      body.add(part);
      timer.refresh();
    };
    const announced = findFault(Number(request.headers["content-length"] ?? 0));
    if (announced !== undefined) return finish(Result.err(announced));
    turns.begin(socket);
    request.on("data", addPart);
    request.once("end", () => {
      held.complete();
      finish(Result.ok({ bytes: body.join(), release: held.release }));
    });
    request.once("error", failIncomplete);
    request.once("close", failIncomplete);
  });
}
