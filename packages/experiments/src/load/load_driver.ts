import { build } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import process from "node:process";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import type { CallResult } from "./call_result.ts";
import type { LoadPlan } from "./load_plan.ts";
import type { LoadSummary } from "./load_summary.ts";
import { makeCall } from "./make_call.ts";

/** Retries to learn the outcome of a call that must not run twice. */
const MAX_OUTCOME_RETRIES = 5;
const OUTCOME_RETRY_MILLISECONDS = 300;
const MAX_ASKING_AGAIN_MILLISECONDS = 20_000;

type Stream = LoadPlan["streams"][number];
type Summary = LoadSummary["services"][string];

/** Sends calls of all streams at their rates until it is stopped. */
class LoadDriver {
  #plan: LoadPlan;
  #isStopped = false;
  #callCount = 0;
  #callsInFlight = new Set<Promise<void>>();
  #histograms = new Map(
    [] as [string, ReturnType<typeof build>][],
  );
  #summary: LoadSummary = {
    services: {},
    unrepeatable: { ran: [], notRun: [], unknown: [] },
    wrongDetails: [],
  };

  constructor(plan: LoadPlan) {
    this.#plan = plan;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async run(): Promise<LoadSummary> {
    await Promise.all(
      this.#plan.streams.map((stream) => this.#sendAtRate(stream)),
    );
    await Promise.all(this.#callsInFlight);
    for (const service of Object.keys(this.#summary.services)) {
      const summary = this.#summaryOf(service);
      const histogram = this.#histogramOf(service);
      const refused = this.#histogramOf(`${service} refused`);
      summary.refusedP99 = refused.getValueAtPercentile(99);
      summary.p50 = histogram.getValueAtPercentile(50);
      summary.p95 = histogram.getValueAtPercentile(95);
      summary.p99 = histogram.getValueAtPercentile(99);
    }
    return this.#summary;
  }

  async #sendAtRate(stream: Stream): Promise<void> {
    const startedAt = performance.now();
    for (let sent = 0; !this.#isStopped; sent += 1) {
      const due = startedAt + sent * 1_000 / stream.callsPerSecond;
      await sleep(Math.max(0, due - performance.now()));
      const call = this.#callOnce(stream);
      this.#callsInFlight.add(call);
      call.finally(() => this.#callsInFlight.delete(call));
    }
  }

  async #callOnce(stream: Stream): Promise<void> {
    this.#callCount += 1;
    const body = `${stream.service} ${this.#plan.seed} ${this.#callCount}`;
    const summary = this.#summaryOf(stream.service);
    summary.sent += 1;
    let result = await this.#sendUntilRun(stream, body);
    if (stream.kind === "unrepeatable") {
      result = await this.#resolveOutcome(stream, body, result);
      this.#recordOutcome(body, result);
    }
    this.#recordResult(stream, summary, result);
  }

  async #sendUntilRun(stream: Stream, body: string): Promise<CallResult> {
    const number = this.#callCount;
    const until = performance.now() + MAX_ASKING_AGAIN_MILLISECONDS;
    while (true) {
      const result = await this.#send(stream, body, number);
      const mayAskAgain = stream.asksAgain && result.kind === "refused" &&
        result.outcome === "not-run" && performance.now() < until;
      if (!mayAskAgain) return result;
      this.#recordRefusal(stream, result);
      await sleep(result.retryAfterMilliseconds);
    }
  }

  /**
   * Retries a call with an unknown outcome under the same idempotency key and
   * through varying entry hosts, until the outcome is known or the retries are
   * used up.
   */
  async #resolveOutcome(
    stream: Stream,
    body: string,
    first: CallResult,
  ): Promise<CallResult> {
    let result = first;
    for (let retry = 1; retry <= MAX_OUTCOME_RETRIES; retry += 1) {
      const isUnresolved = result.kind === "cut" ||
        result.kind === "unreached" ||
        (result.kind === "refused" && result.outcome === "unknown");
      if (!isUnresolved) return result;
      await sleep(OUTCOME_RETRY_MILLISECONDS);
      result = await this.#send(stream, body, this.#callCount + retry);
    }
    return result;
  }

  #send(stream: Stream, body: string, entryIndex: number): Promise<CallResult> {
    const { entries, workspace, weightDigests, deadlineMilliseconds } =
      this.#plan;
    return makeCall({
      entry: entries[entryIndex % entries.length]!,
      workspace,
      service: stream.service,
      body,
      idempotencyKey: stream.kind === "unrepeatable"
        ? body.replaceAll(" ", "-")
        : undefined,
      deadlineMilliseconds,
      weightDigests: stream.kind === "engine" ? weightDigests : undefined,
    });
  }

  #recordOutcome(body: string, result: CallResult): void {
    const { ran, notRun, unknown } = this.#summary.unrepeatable;
    if (result.kind === "whole") ran.push(body);
    else if (result.kind === "refused" && result.outcome === "not-run") {
      notRun.push(body);
    } else unknown.push(body);
  }

  #recordResult(stream: Stream, summary: Summary, result: CallResult): void {
    switch (result.kind) {
      case "whole": {
        summary.whole += 1;
        const { version } = result;
        summary.byVersion[version] = (summary.byVersion[version] ?? 0) + 1;
        this.#histogramOf(stream.service).recordValue(
          Math.round(result.milliseconds),
        );
        return;
      }
      case "refused":
        return this.#recordRefusal(stream, result);
      case "wrong":
        summary.wrong += 1;
        this.#summary.wrongDetails.push(result.detail);
        return;
      case "cut":
        summary.cut += 1;
        this.#summary.wrongDetails.push(result.detail);
        return;
      case "unreached":
        summary.unreached += 1;
        return;
    }
  }

  #recordRefusal(
    { service }: Stream,
    { reason, milliseconds }: Extract<CallResult, { kind: "refused" }>,
  ): void {
    const { refused } = this.#summaryOf(service);
    this.#histogramOf(`${service} refused`).recordValue(
      Math.round(milliseconds),
    );
    refused[reason] = (refused[reason] ?? 0) + 1;
  }

  #histogramOf(service: string) {
    let histogram = this.#histograms.get(service);
    if (histogram === undefined) {
      histogram = build();
      this.#histograms.set(service, histogram);
    }
    return histogram;
  }

  #summaryOf(service: string): Summary {
    return this.#summary.services[service] ??= {
      sent: 0,
      whole: 0,
      wrong: 0,
      cut: 0,
      unreached: 0,
      refused: {},
      refusedP99: 0,
      p50: 0,
      p95: 0,
      p99: 0,
      byVersion: {},
    };
  }
}

const plan = JSON.parse(readFileSync(process.argv[2]!, "utf8")) as LoadPlan;
const driver = new LoadDriver(plan);
process.once("SIGTERM", () => driver.stop());
driver.run().then((summary) => {
  process.stdout.write(JSON.stringify(summary));
});
