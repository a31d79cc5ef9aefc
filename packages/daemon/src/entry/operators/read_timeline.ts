import type { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import { TimelineService } from "@teaselrouter/messages/agent.ts";
import type { Settings } from "../../settings/settings.ts";
import type { EntryWorld } from "../entry_world.ts";

const CALL_MILLISECONDS = 1_500;

type Options = { settings: Settings; world: EntryWorld; ring: TimelineRing };

type Event = {
  time: number;
  counter: number;
  process: string;
  kind: string;
  detail: string;
};

function inOrder(left: Event, right: Event): number {
  return left.time - right.time || left.counter - right.counter ||
    (left.process < right.process ? -1 : 1);
}

/** Merges the events of all processes that can be reached, oldest first. */
export async function readTimeline(
  options: Options,
  since: number,
): Promise<{ events: Event[]; unreachable: string[] }> {
  const { settings, world, ring } = options;
  const { state } = world.control;
  const addresses = new Set([
    ...settings.entry!.control_hosts,
    ...[...state.entryHosts.values()].map((row) => row.internalAddress),
    ...world.table.all().map((row) => row.internalAddress),
  ]);
  addresses.delete(settings.internal.listen);
  const events: Event[] = ring.since(since);
  const unreachable: string[] = [];
  await Promise.all([...addresses].map(async (address) => {
    const client = world.clients.client(TimelineService, address);
    try {
      const answer = await client.read({ since }, {
        timeoutMs: CALL_MILLISECONDS,
      });
      for (const { $typeName: _type, ...event } of answer.events) {
        events.push(event);
      }
    } catch {
      unreachable.push(address);
    }
  }));
  return { events: events.sort(inOrder), unreachable };
}
