import type { ConnectRouter } from "@connectrpc/connect";
import { FollowService } from "@teaselrouter/messages/follow.ts";
import type { EventLog } from "../log/event_log.ts";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import type { ControlGate } from "./control_gate.ts";
import { FollowSession } from "./follow_session.ts";
import type { SharedView } from "./shared_view.ts";

type Options = { view: SharedView; gate: ControlGate; log: EventLog };

/** The connect services of a control host for those that follow it. */
export function followRoutes({ view, gate, log }: Options) {
  return (router: ConnectRouter): void => {
    router.service(FollowService, {
      forward: ({ command }) => gate.takeForwarded(command),
      async *follow(messages) {
        const session = new FollowSession(view);
        const outgoing = toAsyncIterable(session.outgoing$);
        const reading = (async () => {
          for await (const message of messages) session.take(message);
        })();
        reading
          .catch((error) => log.debug("follower-lost", { reason: `${error}` }))
          .finally(() => session.close());
        yield* outgoing;
      },
    });
  };
}
