import type { ConnectRouter } from "@connectrpc/connect";
import type { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import type { Member, Membership } from "@teaselrouter/messages/control.ts";
import { ControlService, PeerService } from "@teaselrouter/messages/control.ts";
import type { Result } from "true-myth";
import { toAsyncIterable } from "../transport/to_async_iterable.ts";
import type { ControlHost } from "./control_host.ts";
import { EntrySession } from "./entry_session.ts";
import type { RaftDriver } from "./raft_driver.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Under load one acknowledgement covers many messages. */
const ACK_INTERVAL_MILLISECONDS = 50;

type Options = {
  self: Member;
  timeline: TimelineRing;
  /** Undefined until the initial members are known. */
  membership: () => Membership | undefined;
  control: () => ControlHost | undefined;
  driver: () => RaftDriver | undefined;
  /** Called when a host introduces itself; it may be a candidate member. */
  addCandidate: (member: Member) => void;
  replaceMember: (name: string) => Promise<Result<string, string>>;
};

/** Registers the Connect services for peers, entry hosts and operators. */
export function controlRoutes(options: Options) {
  return (router: ConnectRouter): void => {
    router.service(PeerService, {
      introduce: ({ member }) => {
        if (member !== undefined) options.addCandidate(member);
        return { member: options.self, founded: options.membership() };
      },
      async *exchange(messages) {
        let acknowledgedAt = 0;
        for await (const message of messages) {
          options.driver()?.receive(message);
          const now = monotonicMilliseconds();
          if (now - acknowledgedAt < ACK_INTERVAL_MILLISECONDS) continue;
          acknowledgedAt = now;
          yield {};
        }
      },
    });
    router.service(ControlService, {
      async replaceMember({ name }) {
        const replaced = await options.replaceMember(name);
        return replaced.isOk
          ? { accepted: true, memberId: replaced.value }
          : { accepted: false, reason: replaced.error };
      },
      async *session(messages) {
        const control = options.control();
        if (control === undefined) return;
        const session = new EntrySession({
          control,
          timeline: options.timeline,
          leaderAddress: () => control.leaderAddress,
        });
        const reading = (async () => {
          for await (const message of messages) session.handleMessage(message);
        })();
        reading.catch(() => undefined).finally(() => session.close());
        yield* toAsyncIterable(session.outgoing$);
      },
    });
  };
}
