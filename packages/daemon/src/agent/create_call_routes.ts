import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
  AnswerFrameSchema,
  CallOutcome,
  CallService,
} from "@teaselrouter/messages/agent.ts";
import { sleep } from "../transport/sleep.ts";
import type { CallRunner } from "./call_runner.ts";

/**
 * Wait for a claimed call that has not arrived, before its claim is withdrawn:
 * the call may still be in flight when an entry host settles the claim.
 */
const CLAIM_ARRIVAL_GRACE_MILLISECONDS = 300;

/** The Connect RPC service through which entry hosts make calls. */
export function createCallRoutes(runner: CallRunner, incarnation: string) {
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
          await sleep(CLAIM_ARRIVAL_GRACE_MILLISECONDS);
        }
        const requestId = runner.claims.withdrawUnlessKnown(
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
