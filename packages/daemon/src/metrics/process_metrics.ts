import { Counter, Histogram, Registry } from "prom-client";

/**
 * From a fast plain answer to the longest stream: doubling steps, so that a
 * target of some hundred milliseconds falls between close bounds.
 */
const MILLISECOND_BOUNDS = [
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

/** Early is below 0: how far first events come from what was expected. */
const ERROR_BOUNDS = [
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

type RequestLabels = "kind" | "outcome";

/** A process's counters and histograms; no label grows with requests. */
export class ProcessMetrics {
  readonly registry = new Registry();
  /** Events by the names of the log's vocabulary. */
  readonly events: Counter<"event">;
  /** Requests by kind and by how they ended. */
  readonly requests: Counter<RequestLabels>;
  readonly requestMilliseconds: Histogram<"kind">;
  /** Until the head of an answer was passed on. */
  readonly headMilliseconds: Histogram<"kind">;
  /** First event of a stream: when it came less when it was expected. */
  readonly forecastErrorMilliseconds: Histogram<"placement">;

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
    this.requestMilliseconds = new Histogram({
      name: "teaselrouter_request_milliseconds",
      help: "From the head of a request to the end of its answer",
      labelNames: ["kind"],
      buckets: MILLISECOND_BOUNDS,
      registers,
    });
    this.headMilliseconds = new Histogram({
      name: "teaselrouter_answer_head_milliseconds",
      help: "From the head of a request to the head of its answer",
      labelNames: ["kind"],
      buckets: MILLISECOND_BOUNDS,
      registers,
    });
    this.forecastErrorMilliseconds = new Histogram({
      name: "teaselrouter_forecast_error_milliseconds",
      help: "When first events came, less when they were expected",
      labelNames: ["placement"],
      buckets: ERROR_BOUNDS,
      registers,
    });
  }
}
