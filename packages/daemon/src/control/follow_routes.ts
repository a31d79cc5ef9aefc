import type { ConnectRouter } from "@connectrpc/connect";
import { FollowService } from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import type { ControlOperationsHandler } from "./control_operations_handler.ts";
import { FollowSession } from "./follow_session.ts";
import type { SharedView } from "./shared_view.ts";

type Options = {
  view: SharedView;
  operations: ControlOperationsHandler;
  log: EventLog;
};

/** Registers the Connect service for followers of a control host. */
export function followRoutes({ view, operations, log }: Options) {
  return (router: ConnectRouter): void => {
    router.service(FollowService, {
      forward: ({ command }) => operations.handleForwarded(command),
      async *follow(messages) {
        const session = new FollowSession(view);
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.handleMessage(message);
        })();
        reading
          .catch((error) => log.debug("follower-lost", { reason: `${error}` }))
          .finally(() => session.close());
        yield* outgoing;
      },
    });
  };
}
