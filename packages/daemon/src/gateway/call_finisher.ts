import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerPasser } from "./answer_passer.ts";
import type { CallEnd } from "./call_end.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { CallRouting } from "./call_routing.ts";
import type { CallSender } from "./call_sender.ts";
import type { GatewayWorld } from "./gateway_world.ts";
import { refuseCall } from "./refuse_call.ts";

type Options = {
  world: GatewayWorld;
  request: IncomingMessage;
  response: ServerResponse;
};

/** What is known of the request when it ends. */
type Ended = {
  call: AdmittedCall;
  sender: CallSender;
  passer: AnswerPasser;
  routing: CallRouting;
};

/** Ends one client's request: its last answer, its log line, its counts. */
export class CallEnding {
  #options: Options;
  #isOver = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  /** Calls `giveUp` when the request's time is over, if it is not ended. */
  startTimer(milliseconds: number, giveUp: () => void): void {
    this.#timer = setTimeout(giveUp, Math.max(0, milliseconds));
  }

  /** The final answer, at once; an answer that began is broken off. */
  refuse(ended: Ended | undefined, refusal: CallRefusal): void {
    if (this.#isOver) return;
    const { status, reason } = refusal;
    const { world, request, response } = this.#options;
    const { format, isStopping } = world;
    if (response.headersSent) response.destroy();
    else {
      refuseCall(response, refusal, { closes: isStopping() });
      if (!request.complete) request.resume();
    }
    const isNotRun = format.promisesNotRun(status) || status < 500;
    const outcome = isNotRun ? "not-run" : "unknown";
    this.finish(ended, { status, reason, outcome });
  }

  finish(ended: Ended | undefined, end: CallEnd): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    const { world, request } = this.#options;
    const { counted, feed, format, log } = world;
    const call = ended?.call;
    const forecast = ended?.routing.placement?.forecast;
    const firstEvent = ended && firstEventMilliseconds(ended);
    const kind = call?.route.kind ?? "none";
    const milliseconds = call && monotonicMilliseconds() - call.startedAt;
    counted.requests.inc({ kind, outcome: end.outcome });
    if (milliseconds !== undefined) {
      counted.requestMilliseconds.observe({ kind }, milliseconds);
    }
    if (forecast !== undefined && firstEvent !== undefined) {
      const placement = ended!.routing.placement!.kind;
      const error = firstEvent - forecast.milliseconds;
      counted.forecastErrorMilliseconds.observe({ placement }, error);
    }
    log.info("request-ended", {
      id: call?.id ?? format.readRequest(request.headers).id,
      route: call?.route.name,
      service: call?.service.name,
      workspace: call?.workspace,
      instances: ended && [...ended.sender.tried].join(","),
      placement: ended?.routing.placement?.kind,
      expected_milliseconds: forecast && Math.round(forecast.milliseconds),
      expected_slot: forecast && Math.round(forecast.slotMilliseconds),
      expected_reading: forecast && Math.round(forecast.readingMilliseconds),
      requests_there: forecast && Math.round(forecast.requests),
      first_event_milliseconds: firstEvent && Math.round(firstEvent),
      spent_before: call && Math.round(call.spentBefore),
      status: end.status,
      outcome: end.outcome,
      reason: end.reason,
      milliseconds: milliseconds && Math.round(milliseconds),
      configuration: feed.table?.configuration.version,
    });
  }
}

/**
 * From its last placing to the first event; undefined without one, and where
 * another backend server goes on with a stream that had begun.
 */
function firstEventMilliseconds(
  { passer, routing }: Ended,
): number | undefined {
  const { firstEventAt } = passer;
  const { placement } = routing;
  if (firstEventAt === undefined || placement?.forecast === undefined) return;
  return firstEventAt - placement.placedAt;
}
