import { build } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import process from "node:process";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import type { CallResult } from "./call_result.ts";
import type { LoadPlan } from "./load_plan.ts";
import type { LoadSummary } from "./load_summary.ts";
import { makeCall } from "./make_call.ts";

const ASK_AGAIN_TIMES = 5;
const ASK_AGAIN_MILLISECONDS = 300;

type Stream = LoadPlan["streams"][number];
type Summary = LoadSummary["services"][string];

/** Sends live calls of every kind until it is told to stop. */
class LoadDriver {
  #plan: LoadPlan;
  #stopped = false;
  #count = 0;
  #underWay = new Set<Promise<void>>();
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
    this.#stopped = true;
  }

  async run(): Promise<LoadSummary> {
    await Promise.all(this.#plan.streams.map((stream) => this.#drive(stream)));
    await Promise.all(this.#underWay);
    for (const service of Object.keys(this.#summary.services)) {
      const summary = this.#of(service);
      const histogram = this.#histogram(service);
      const refused = this.#histogram(`${service} refused`);
      summary.refusedP99 = refused.getValueAtPercentile(99);
      summary.p50 = histogram.getValueAtPercentile(50);
      summary.p95 = histogram.getValueAtPercentile(95);
      summary.p99 = histogram.getValueAtPercentile(99);
    }
    return this.#summary;
  }

  async #drive(stream: Stream): Promise<void> {
    const startedAt = performance.now();
    for (let sent = 0; !this.#stopped; sent += 1) {
      const due = startedAt + sent * 1_000 / stream.callsPerSecond;
      await pause(Math.max(0, due - performance.now()));
      const call = this.#callOnce(stream);
      this.#underWay.add(call);
      call.finally(() => this.#underWay.delete(call));
    }
  }

  async #callOnce(stream: Stream): Promise<void> {
    this.#count += 1;
    const body = `${stream.service} ${this.#plan.seed} ${this.#count}`;
    const summary = this.#of(stream.service);
    summary.sent += 1;
    let result = await this.#send(stream, body, this.#count);
    if (stream.kind === "unrepeatable") {
      result = await this.#insist(stream, body, result);
      this.#noteOutcome(body, result);
    }
    this.#countResult(stream, summary, result);
  }

  /** An unknown outcome is asked again through other entry hosts. */
  async #insist(
    stream: Stream,
    body: string,
    first: CallResult,
  ): Promise<CallResult> {
    let result = first;
    for (let time = 1; time <= ASK_AGAIN_TIMES; time += 1) {
      const open = result.kind === "cut" || result.kind === "unreached" ||
        (result.kind === "refused" && result.outcome === "unknown");
      if (!open) return result;
      await pause(ASK_AGAIN_MILLISECONDS);
      result = await this.#send(stream, body, this.#count + time);
    }
    return result;
  }

  #send(stream: Stream, body: string, turn: number): Promise<CallResult> {
    const { entries, workspace, weightDigests, deadlineMilliseconds } =
      this.#plan;
    return makeCall({
      entry: entries[turn % entries.length]!,
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

  #noteOutcome(body: string, result: CallResult): void {
    const { ran, notRun, unknown } = this.#summary.unrepeatable;
    if (result.kind === "whole") ran.push(body);
    else if (result.kind === "refused" && result.outcome === "not-run") {
      notRun.push(body);
    } else unknown.push(body);
  }

  #countResult(stream: Stream, summary: Summary, result: CallResult): void {
    switch (result.kind) {
      case "whole": {
        summary.whole += 1;
        const { version } = result;
        summary.byVersion[version] = (summary.byVersion[version] ?? 0) + 1;
        this.#histogram(stream.service).recordValue(
          Math.round(result.milliseconds),
        );
        return;
      }
      case "refused":
        this.#histogram(`${stream.service} refused`).recordValue(
          Math.round(result.milliseconds),
        );
        summary.refused[result.reason] = (summary.refused[result.reason] ?? 0) +
          1;
        return;
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

  #histogram(service: string) {
    let histogram = this.#histograms.get(service);
    if (histogram === undefined) {
      histogram = build();
      this.#histograms.set(service, histogram);
    }
    return histogram;
  }

  #of(service: string): Summary {
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
