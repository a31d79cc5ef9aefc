import { Counter, Gauge, Histogram, Registry } from "prom-client";

/**
 * From a fast plain answer to the longest stream. Each bound is at most twice
 * the one before, so that a target of some hundred milliseconds falls between
 * close bounds.
 */
const MILLISECOND_BUCKETS = [
  25,
  50,
  100,
  200,
  300,
  400,
  600,
  1_000,
  2_000,
  4_000,
  8_000,
];

/** Difference from the expected time of a first event; negative when early. */
const FORECAST_ERROR_BUCKETS = [
  -400,
  -200,
  -100,
  -50,
  0,
  50,
  100,
  200,
  400,
  1_000,
  3_000,
];

/** Time that work takes, relative to the usual. */
const SLOWDOWN_BUCKETS = [0.8, 1, 1.2, 1.5, 2, 3, 5, 10];

type WorkspaceLabel = "service" | "urgency" | "workspace";
type RequestLabel = "kind" | "outcome";

/**
 * A process's counters and histograms. The number of label values does not grow
 * with the number of requests.
 */
export class ProcessMetrics {
  readonly registry = new Registry();
  /** Log events by name. */
  readonly events: Counter<"event">;
  /** Requests by kind of route and by outcome. */
  readonly requests: Counter<RequestLabel>;
  /** Requests that were decided to be refused, by reason. */
  readonly refusals: Counter<"reason">;
  /** Requests sent to backend servers that count as cold. */
  readonly coldSends: Counter;
  /** Requests by rank of their urgency, 0 (most urgent) to 9, and outcome. */
  readonly requestsByUrgency: Counter<"urgency" | "outcome">;
  /** Slots that fall to this host, by contested service. */
  readonly roomSlots: Gauge<"service">;
  /** Slots that requests more urgent than this urgency are expected to use. */
  readonly roomKept: Gauge<"service" | "urgency">;
  /** Requests a second of the largest workspaces. */
  readonly workspaceAsked: Gauge<WorkspaceLabel>;
  readonly workspaceShare: Gauge<WorkspaceLabel>;
  /** Answers that broke off at the caller after a part had been sent. */
  readonly answersCut: Counter<"reason">;
  /** Answers of backend servers, by what framed them and how they ended. */
  readonly answersEnded: Counter<"framing" | "end">;
  /** Breaks by backend servers, by what the check of their ports found. */
  readonly breaksChecked: Counter<"found">;
  /** Breaks by backend servers, by what was found out about each. */
  readonly breaksResolved: Counter<"verdict">;
  /** Runs given up shortly before the end of the process that ran them. */
  readonly runsGivenUpBeforeEnds: Counter;
  /** Fields of answers that were ignored, in part or whole, by their name. */
  readonly answerFieldsUnreadable: Counter<"field">;
  /** Requests that were not sent once more, by why; each once by reason. */
  readonly retriesRefused: Counter<"service" | "reason">;
  /** Steps of takeovers from silent or failing backend servers. */
  readonly takeovers: Counter<"change">;
  /** Data centres that this gateway sends nothing to. */
  readonly evacuationsInForce: Gauge;
  readonly requestMilliseconds: Histogram<"kind">;
  /** From the head of a request until the head of its answer is forwarded. */
  readonly answerHeadMilliseconds: Histogram<"kind">;
  /** Time of a stream's first event minus its expected time. */
  readonly forecastErrorMilliseconds: Histogram<"placement">;
  /** How slow backend servers said they were in their answers. */
  readonly reportedSlowdown: Histogram<"service">;

  constructor() {
    const registers = [this.registry];
    this.events = new Counter({
      name: "teaselrouter_events_total",
      help: "Log events by name, also those that were dropped",
      labelNames: ["event"],
      registers,
    });
    this.requests = new Counter({
      name: "teaselrouter_requests_total",
      help: "Requests by kind of route and outcome",
      labelNames: ["kind", "outcome"],
      registers,
    });
    this.refusals = new Counter({
      name: "teaselrouter_refusals_total",
      help: "Requests that were decided to be refused, by reason",
      labelNames: ["reason"],
      registers,
    });
    this.coldSends = new Counter({
      name: "teaselrouter_cold_sends_total",
      help: "Requests sent to backend servers that count as cold",
      registers,
    });
    this.requestsByUrgency = new Counter({
      name: "teaselrouter_requests_by_urgency_total",
      help: "Requests by urgency (0 is the most urgent) and outcome",
      labelNames: ["urgency", "outcome"],
      registers,
    });
    this.roomSlots = new Gauge({
      name: "teaselrouter_room_slots",
      help: "Slots of a service that fall to this host",
      labelNames: ["service"],
      registers,
    });
    this.roomKept = new Gauge({
      name: "teaselrouter_room_kept_slots",
      help: "Slots kept for requests more urgent than this urgency",
      labelNames: ["service", "urgency"],
      registers,
    });
    this.workspaceAsked = new Gauge({
      name: "teaselrouter_workspace_asked_per_second",
      help: "Requests a second of the largest workspaces",
      labelNames: ["service", "urgency", "workspace"],
      registers,
    });
    this.workspaceShare = new Gauge({
      name: "teaselrouter_workspace_share_per_second",
      help: "Requests a second that are the share of the largest workspaces",
      labelNames: ["service", "urgency", "workspace"],
      registers,
    });
    this.answersCut = new Counter({
      name: "teaselrouter_answers_cut_total",
      help: "Answers that broke off at the caller after a part was sent",
      labelNames: ["reason"],
      registers,
    });
    this.answersEnded = new Counter({
      name: "teaselrouter_answers_ended_total",
      help: "Answers of backend servers, by framing and end",
      labelNames: ["framing", "end"],
      registers,
    });
    this.breaksChecked = new Counter({
      name: "teaselrouter_breaks_checked_total",
      help: "Breaks by backend servers, by what the check of the port found",
      labelNames: ["found"],
      registers,
    });
    this.breaksResolved = new Counter({
      name: "teaselrouter_breaks_resolved_total",
      help: "Breaks by backend servers, by whether their process had ended",
      labelNames: ["verdict"],
      registers,
    });
    this.runsGivenUpBeforeEnds = new Counter({
      name: "teaselrouter_runs_given_up_before_ends_total",
      help: "Requests given up shortly before the process that ran them ended",
      registers,
    });
    this.answerFieldsUnreadable = new Counter({
      name: "teaselrouter_answer_fields_unreadable_total",
      help: "Fields of answers that were ignored, in part or whole",
      labelNames: ["field"],
      registers,
    });
    this.retriesRefused = new Counter({
      name: "teaselrouter_retries_refused_total",
      help: "Requests that were not sent once more, by service and reason",
      labelNames: ["service", "reason"],
      registers,
    });
    this.takeovers = new Counter({
      name: "teaselrouter_takeovers_total",
      help: "Takeovers from silent or failing backend servers, by step",
      labelNames: ["change"],
      registers,
    });
    this.evacuationsInForce = new Gauge({
      name: "teaselrouter_evacuations_in_force",
      help: "Data centres that this host sends no requests to",
      registers,
    });
    this.requestMilliseconds = new Histogram({
      name: "teaselrouter_request_milliseconds",
      help: "From the head of a request to the end of its answer",
      labelNames: ["kind"],
      buckets: MILLISECOND_BUCKETS,
      registers,
    });
    this.answerHeadMilliseconds = new Histogram({
      name: "teaselrouter_answer_head_milliseconds",
      help: "From the head of a request to the head of its answer",
      labelNames: ["kind"],
      buckets: MILLISECOND_BUCKETS,
      registers,
    });
    this.reportedSlowdown = new Histogram({
      name: "teaselrouter_reported_slowdown",
      help: "Time that work takes as backend servers report it; 1 as usual",
      labelNames: ["service"],
      buckets: SLOWDOWN_BUCKETS,
      registers,
    });
    this.forecastErrorMilliseconds = new Histogram({
      name: "teaselrouter_forecast_error_milliseconds",
      help: "When first events came, less when they were expected",
      labelNames: ["placement"],
      buckets: FORECAST_ERROR_BUCKETS,
      registers,
    });
  }
}
