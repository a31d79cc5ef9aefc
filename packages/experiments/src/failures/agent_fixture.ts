import { createTestIntake } from "@teaselrouter/daemon/http/intake_fixture.ts";
import { create } from "@bufbuild/protobuf";
import { AgentServer } from "@teaselrouter/daemon/agent/agent_server.ts";
import { AgentState } from "@teaselrouter/daemon/agent/agent_state.ts";
import { CallRunner } from "@teaselrouter/daemon/agent/call_runner.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import { EngineLoader } from "@teaselrouter/daemon/agent/engine_loader.ts";
import type { Exchange } from "@teaselrouter/daemon/agent/exchange.ts";
import { LinkPacer } from "@teaselrouter/daemon/spread/link_pacer.ts";
import { WeightsCache } from "@teaselrouter/daemon/spread/weights_cache.ts";
import { EventLog } from "@teaselrouter/daemon/log/event_log.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import { sha256Hex } from "../fakes/sha256_hex.ts";
import { computeExpectedAnswer } from "../fakes/expected_answer.ts";
import { FakeEngine } from "../fakes/fake_engine.ts";
import { generateWeights } from "../fakes/generate_weights.ts";
import { waitUntil } from "../harness/wait_until.ts";

const WEIGHTS_SHAPE = {
  totalBytes: 16_777_216,
  chunkBytes: 1_048_576,
  commonChunks: 0,
};
const INCARNATION = "test";
const SERVING_TIMEOUT_MILLISECONDS = 10_000;
const CALL_INTERVAL_MILLISECONDS = 10;

/**
 * The parts of one agent that load weights and run calls, connected to a fake
 * engine. There is no entry host: the fixture grants every loading permit.
 */
export class AgentFixture {
  readonly state = new AgentState();
  readonly engine: FakeEngine;
  readonly loader: EngineLoader;
  readonly agentAddress: string;
  readonly engineAddress: string;
  answeredCalls = 0;
  refusedCalls = 0;
  /** How many calls were refused, by reason. */
  readonly refusalReasons: Record<string, number> = {};
  readonly wrongAnswers: string[] = [];
  #cache = new WeightsCache();
  #runner: CallRunner;
  #server: AgentServer;
  #fencingToken = 10;
  #calls = new Set<Promise<void>>();

  constructor(addresses: string[], checksFencing: boolean) {
    this.agentAddress = addresses[0]!;
    this.engineAddress = addresses[1]!;
    const engine = new EngineClient(
      () => this.state.backend?.address,
      this.state.pushback,
    );
    this.#runner = new CallRunner({
      state: this.state,
      engine,
      incarnation: INCARNATION,
    });
    this.#server = new AgentServer({
      dataCentre: "van",
      state: this.state,
      cache: this.#cache,
      linkPacer: new LinkPacer(0),
      dataCentreBytesPerSecond: 0,
      intake: createTestIntake(),
    });
    this.loader = new EngineLoader({
      state: this.state,
      cache: this.#cache,
      engine,
      runner: this.#runner,
      log: new EventLog("test", "error"),
      incarnation: INCARNATION,
      weightsAddress: this.agentAddress,
    });
    this.loader.permitRequested$.subscribe(({ version }) => {
      this.#fencingToken += 1;
      this.loader.receivePermit({
        version,
        fencingToken: this.#fencingToken,
        incarnation: INCARNATION,
        at: Date.now(),
      });
    });
    this.engine = new FakeEngine({
      address: this.engineAddress,
      agentAddress: this.agentAddress,
      service: "drafter",
      checksFencing,
      slots: 8,
      lineIntervalMilliseconds: 5,
      loadMilliseconds: 0,
    });
  }

  async start(): Promise<void> {
    await this.#server.listen(this.agentAddress);
    await this.engine.start();
    this.loader.start();
  }

  async stop(): Promise<void> {
    await Promise.all(this.#calls);
    this.loader.stop();
    this.#runner.stop();
    this.engine.stop();
    this.#server.close();
  }

  /** Caches all chunks of a version and makes it the version to serve. */
  setCompleteTarget(version: string): void {
    const chunks = generateWeights({ ...WEIGHTS_SHAPE, version });
    const name = `drafter@${version}`;
    this.#cache.begin({
      name: "drafter",
      version,
      total_bytes: WEIGHTS_SHAPE.totalBytes,
      chunk_bytes: WEIGHTS_SHAPE.chunkBytes,
      chunks: chunks.map((chunk) => sha256Hex([chunk])),
    });
    chunks.forEach((bytes, chunk) => this.#cache.add(name, chunk, bytes));
    this.loader.setTarget(name);
  }

  waitUntilServing(version: string): Promise<boolean> {
    return waitUntil(
      () =>
        this.state.servingVersion === `drafter@${version}` &&
        this.state.refusalReason(Date.now()) === undefined,
      SERVING_TIMEOUT_MILLISECONDS,
    );
  }

  /**
   * Starts a call about every 10 ms until the duration is over, then waits for
   * all answers. Each answer is compared byte for byte with the one expected
   * from the version that it names.
   */
  async makeCallsFor(milliseconds: number): Promise<void> {
    const until = Date.now() + milliseconds;
    for (let count = 0; Date.now() < until; count += 1) {
      const call = this.makeCall(`call ${milliseconds} ${count}`);
      this.#calls.add(call);
      await sleep(CALL_INTERVAL_MILLISECONDS);
    }
    await Promise.all(this.#calls);
  }

  /** Starts a call and returns its exchange without reading the answer. */
  startCall(body: string): Exchange {
    return this.#runner.run(create(RunRequestSchema, {
      requestId: body,
      path: "/generate",
      body: new TextEncoder().encode(body),
      deadlineMilliseconds: 5_000,
    }));
  }

  cancel(requestId: string): void {
    this.#runner.cancel(requestId);
  }

  get runningCalls(): number {
    return this.#runner.load.running;
  }

  /** Makes a call, and counts how it ends. */
  async makeCall(body: string): Promise<void> {
    const exchange = this.startCall(body);
    let [text, version] = ["", ""];
    for await (const { body: part } of exchange.read(0)) {
      if (part.case === "start") version = part.value.version;
      if (part.case === "data") text += new TextDecoder().decode(part.value);
      if (part.case === "refused") {
        this.refusedCalls += 1;
        const { reason } = part.value;
        this.refusalReasons[reason] = (this.refusalReasons[reason] ?? 0) + 1;
        return;
      }
    }
    const weights = computeWeightsDigest(version.split("@")[1]!);
    const expected = computeExpectedAnswer(weights, body).join("");
    if (text === expected) this.answeredCalls += 1;
    else this.wrongAnswers.push(`${body} from ${version}`);
  }
}

/** Computing a digest generates the whole weights, so it is cached. */
const digestByVersion = new Map<string, string>();

function computeWeightsDigest(version: string): string {
  const digest = digestByVersion.get(version) ??
    sha256Hex(generateWeights({ ...WEIGHTS_SHAPE, version }));
  digestByVersion.set(version, digest);
  return digest;
}
