import type { OperatorClient } from "../client/operator_client.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { createFailureResult } from "./create_failure_result.ts";

const MICROSECONDS_PER_MILLISECOND = 1_000;

type Timeline = {
  events: {
    time: number;
    counter: number;
    process: string;
    kind: string;
    detail: string;
  }[];
  unreachable: string[];
};

/** Converts events to the trace-event format of browsers' trace viewers. */
function toTrace(timeline: Timeline): unknown {
  return {
    traceEvents: timeline.events.map((event) => ({
      name: event.kind,
      ph: "i",
      s: "p",
      ts: event.time * MICROSECONDS_PER_MILLISECOND + event.counter,
      pid: event.process,
      tid: event.process,
      args: { detail: event.detail },
    })),
  };
}

/** Shows the events of all processes, merged with causes before effects. */
export async function showTimeline(
  client: OperatorClient,
  options: { sinceSeconds: number; trace: boolean },
): Promise<CommandResult> {
  const since = Date.now() - options.sinceSeconds * 1_000;
  const reply = await client.get<Timeline>(`timeline?since=${since}`);
  if (reply.isErr) return createFailureResult(reply.error);
  const timeline = reply.value;
  if (options.trace) {
    const json = toTrace(timeline);
    return { exit: exitCode.done, text: JSON.stringify(json), json };
  }
  const lines = timeline.events.map((event) =>
    `${new Date(event.time).toISOString()}.${event.counter} ` +
    `${event.process} ${event.kind} ${event.detail}`
  );
  for (const address of timeline.unreachable) {
    lines.push(`no answer from ${address}`);
  }
  return { exit: exitCode.done, text: lines.join("\n"), json: timeline };
}
