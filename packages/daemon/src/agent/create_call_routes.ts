import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
  AnswerFrameSchema,
  CallOutcome,
  CallService,
} from "@teaselrouter/messages/agent.ts";
import { pause } from "../transport/pause.ts";
import type { CallRunner } from "./call_runner.ts";

/** A claimed call may still be on its way when its key is asked for again. */
const SETTLE_GRACE_MILLISECONDS = 300;

/** The connect service through which entry hosts make calls. */
export function callRoutes(runner: CallRunner, incarnation: string) {
  return (router: ConnectRouter): void => {
    router.service(CallService, {
      async *run(request) {
        yield* runner.run(request).read(0);
      },
      async *attach(request) {
        const exchange = runner.find(request.requestId);
        if (exchange !== undefined) {
          yield* exchange.read(request.offset);
          return;
        }
        yield create(AnswerFrameSchema, {
          body: {
            case: "refused",
            value: { outcome: CallOutcome.UNKNOWN, reason: "answer-dropped" },
          },
        });
      },
      async settleClaim(request) {
        if (!runner.claims.has(request.claimKey, request.claimIndex)) {
          await pause(SETTLE_GRACE_MILLISECONDS);
        }
        const requestId = runner.claims.settle(
          request.claimKey,
          request.claimIndex,
          Date.now(),
        );
        return {
          incarnation,
          tombstoned: requestId === undefined,
          requestId: requestId ?? "",
        };
      },
      cancel(request) {
        runner.cancel(request.requestId);
        return {};
      },
    });
  };
}
