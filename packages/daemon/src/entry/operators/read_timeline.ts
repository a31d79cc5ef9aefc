import type { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import { TimelineService } from "@teaselrouter/messages/agent.ts";
import type { Settings } from "../../settings/settings.ts";
import type { EntryContext } from "../entry_context.ts";

const READ_TIMEOUT_MILLISECONDS = 1_500;

type Options = {
  settings: Settings;
  context: EntryContext;
  timeline: TimelineRing;
};

type Event = {
  time: number;
  counter: number;
  process: string;
  kind: string;
  detail: string;
};

/** Orders by hybrid logical clock, then by process name. */
function compareEvents(left: Event, right: Event): number {
  return left.time - right.time || left.counter - right.counter ||
    (left.process < right.process ? -1 : 1);
}

/**
 * Merges the timeline events of all reachable processes, oldest first, and
 * lists the addresses of processes that did not answer.
 */
export async function readTimeline(
  options: Options,
  since: number,
): Promise<{ events: Event[]; unreachable: string[] }> {
  const { settings, context, timeline } = options;
  const { state } = context.control;
  const addresses = new Set([
    ...settings.entry!.control_hosts,
    ...[...state.entryHosts.values()].map((row) => row.internalAddress),
    ...context.table.all().map((row) => row.internalAddress),
  ]);
  addresses.delete(settings.internal.listen);
  const events: Event[] = timeline.eventsSince(since);
  const unreachable: string[] = [];
  await Promise.all([...addresses].map(async (address) => {
    const client = context.clients.client(TimelineService, address);
    try {
      const answer = await client.read({ since }, {
        timeoutMs: READ_TIMEOUT_MILLISECONDS,
      });
      for (const { $typeName: _type, ...event } of answer.events) {
        events.push(event);
      }
    } catch {
      unreachable.push(address);
    }
  }));
  return { events: events.sort(compareEvents), unreachable };
}
