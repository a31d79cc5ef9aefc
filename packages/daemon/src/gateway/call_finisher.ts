import type { IncomingMessage, ServerResponse } from "node:http";
import { drainRefused } from "../http/drain_refused.ts";
import { cutOff } from "../http/cut_off.ts";
import { toRoomFields } from "../log/to_room_fields.ts";
import { clampTimer } from "../transport/clamp_timer.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { CallEnd } from "./call_end.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { CallRouting } from "./call_routing.ts";
import type { CallSender } from "./call_sender.ts";
import type { CallTakeover } from "./call_takeover.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { refuseCall } from "./refuse_call.ts";

type Options = {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether no request has arrived behind this one on its connection. */
  isLatest: () => boolean;
};

/** An admitted request that ends. */
type EndedCall = {
  call: AdmittedCall;
  sender: CallSender;
  forwarder: AnswerForwarder;
  routing: CallRouting;
  takeover: CallTakeover;
};

/** Finishes one client request: sends its refusal, logs it and counts it. */
export class CallFinisher {
  #options: Options;
  #isOver = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  /**
   * Calls `onTimeout` after `milliseconds`, unless the request has ended by
   * then.
   */
  startTimer(milliseconds: number, onTimeout: () => void): void {
    this.#timer = setTimeout(onTimeout, clampTimer(Math.max(0, milliseconds)));
  }

  /**
   * Sends a refusal as the final answer; an answer that has begun is cut off
   * instead.
   */
  refuse(ended: EndedCall | undefined, refusal: CallRefusal): void {
    if (this.#isOver) return;
    const { status, reason } = refusal;
    const { context, request, response, isLatest } = this.#options;
    const { format, isStopping } = context;
    if (response.headersSent) {
      this.#logCut(ended, refusal);
      cutOff(response);
    } else {
      refuseCall(response, refusal, {
        isStopping: isStopping(),
        isLatest: isLatest(),
        intake: context.intake,
      });
      drainRefused(request, context.intake);
    }
    const isNotRun = format.guaranteesNotRun(status) || status < 500;
    const outcome = isNotRun ? "not-run" : "unknown";
    this.finish(ended, { status, reason, outcome });
  }

  #logCut(ended: EndedCall | undefined, refusal: CallRefusal): void {
    const { log, metrics } = this.#options.context;
    const silence = ended?.takeover.evidence;
    const reason = refusal.cutReason ?? "server-broke-off";
    metrics.answersCut.inc({ reason });
    log.warn("answer-cut", {
      id: ended?.call.id,
      instances: ended && [...ended.sender.tried].join(","),
      reason,
      detail: refusal.reason,
      last_event: ended?.forwarder.lastEventId,
      silent_milliseconds: silence && Math.round(silence.silentMilliseconds),
      retries_left: ended && Math.floor(
        silence?.retriesLeft ?? ended.routing.retriesLeft,
      ),
      to: silence?.to,
      kept: silence?.keptReason,
    });
  }

  finish(ended: EndedCall | undefined, end: CallEnd): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    const { context, request } = this.#options;
    const { metrics, feed, format, log } = context;
    const call = ended?.call;
    const forecast = ended?.routing.placement?.forecast;
    const firstEvent = ended && firstEventMilliseconds(ended);
    const kind = call?.route.kind ?? "none";
    const milliseconds = call && monotonicMilliseconds() - call.startedAt;
    metrics.requests.inc({ kind, outcome: end.outcome });
    if (call !== undefined) {
      metrics.requestsByUrgency.inc({
        urgency: String(call.rank),
        outcome: end.outcome,
      });
    }
    if (milliseconds !== undefined) {
      metrics.requestMilliseconds.observe({ kind }, milliseconds);
    }
    if (forecast !== undefined && firstEvent !== undefined) {
      const placement = ended!.routing.placement!.kind;
      const error = firstEvent - forecast.milliseconds;
      metrics.forecastErrorMilliseconds.observe({ placement }, error);
    }
    log.info("request-ended", {
      id: call?.id ?? format.readRequest(request.headers).id,
      route: call?.route.name,
      service: call?.service.name,
      workspace: call?.workspace,
      instances: ended && [...ended.sender.tried].join(","),
      sends: ended?.sender.describeSends(),
      placement: ended?.routing.placement?.kind,
      expected_milliseconds: forecast && Math.round(forecast.milliseconds),
      expected_slot: forecast && Math.round(forecast.slotWaitMilliseconds),
      expected_reading: forecast && Math.round(forecast.prefillMilliseconds),
      requests_there: forecast && Math.round(forecast.requests),
      first_event_milliseconds: firstEvent && Math.round(firstEvent),
      ...(ended?.routing.figures && toRoomFields(ended.routing.figures)),
      spent_before: call && Math.round(call.spentBeforeMilliseconds),
      status: end.status,
      outcome: end.outcome,
      reason: end.reason,
      framing: end.framing,
      answer_end: end.answerEnd,
      milliseconds: milliseconds && Math.round(milliseconds),
      configuration: call?.configurationVersion ??
        feed.table?.configuration.version,
    });
  }
}

/**
 * Milliseconds from the last placement to the first event. Undefined without an
 * event, without a forecast, and where another backend server resumes a stream
 * that had begun.
 */
function firstEventMilliseconds(
  { forwarder, routing }: EndedCall,
): number | undefined {
  const { firstEventAt } = forwarder;
  const { placement } = routing;
  if (firstEventAt === undefined || placement?.forecast === undefined) return;
  return firstEventAt - placement.decidedAt;
}
