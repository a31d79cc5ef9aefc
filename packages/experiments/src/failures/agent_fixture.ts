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
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import { digestOf } from "../fakes/digest_of.ts";
import { expectedAnswer } from "../fakes/expected_answer.ts";
import { FakeEngine } from "../fakes/fake_engine.ts";
import { weightsOf } from "../fakes/weights_of.ts";
import { waitUntil } from "../harness/wait_until.ts";

const SHAPE = {
  totalBytes: 16_777_216,
  chunkBytes: 1_048_576,
  commonChunks: 0,
};
const LIVE_MILLISECONDS = 10_000;
const CALL_EVERY_MILLISECONDS = 10;

/** One agent's parts with a fake engine, and no entry host. */
export class AgentBench {
  readonly state = new AgentState();
  readonly engine: FakeEngine;
  readonly loader: EngineLoader;
  readonly agentAddress: string;
  readonly engineAddress: string;
  answered = 0;
  refused = 0;
  readonly wrong: string[] = [];
  #cache = new WeightsCache();
  #runner: CallRunner;
  #server: AgentServer;
  #token = 10;
  #calls = new Set<Promise<void>>();

  constructor(addresses: string[], checksFencing: boolean) {
    this.agentAddress = addresses[0]!;
    this.engineAddress = addresses[1]!;
    const engine = new EngineClient(() => this.state.backend?.address);
    this.#runner = new CallRunner({
      state: this.state,
      engine,
      incarnation: "bench",
    });
    this.#server = new AgentServer({
      dataCentre: "van",
      state: this.state,
      cache: this.#cache,
      link: new LinkPacer(0),
      regionBytesPerSecond: 0,
    });
    this.loader = new EngineLoader({
      state: this.state,
      cache: this.#cache,
      engine,
      runner: this.#runner,
      log: new EventLog("bench", "error"),
      weightsAddress: this.agentAddress,
    });
    this.loader.permitWanted$.subscribe(({ version }) => {
      this.#token += 1;
      this.loader.takePermit(version, this.#token);
    });
    this.engine = new FakeEngine({
      address: this.engineAddress,
      agentAddress: this.agentAddress,
      service: "drafter",
      checksFencing,
      slots: 8,
      lineMilliseconds: 5,
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

  /** Has a version complete and wants it served. */
  target(version: string): void {
    const chunks = weightsOf({ ...SHAPE, version });
    const name = `drafter@${version}`;
    this.#cache.begin({
      name: "drafter",
      version,
      total_bytes: SHAPE.totalBytes,
      chunk_bytes: SHAPE.chunkBytes,
      chunks: chunks.map((chunk) => digestOf([chunk])),
    });
    chunks.forEach((bytes, chunk) => this.#cache.add(name, chunk, bytes));
    this.loader.setTarget(name);
  }

  serves(version: string): Promise<boolean> {
    return waitUntil(
      () =>
        this.state.servingVersion === `drafter@${version}` &&
        this.state.refusal(Date.now()) === undefined,
      LIVE_MILLISECONDS,
    );
  }

  /** Makes calls for a while; each answer is checked byte for byte. */
  async callFor(milliseconds: number): Promise<void> {
    const until = Date.now() + milliseconds;
    for (let count = 0; Date.now() < until; count += 1) {
      const call = this.#callOnce(`call ${milliseconds} ${count}`);
      this.#calls.add(call);
      await pause(CALL_EVERY_MILLISECONDS);
    }
    await Promise.all(this.#calls);
  }

  /** Sends a call and gives back its exchange, unread. */
  send(body: string): Exchange {
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

  get running(): number {
    return this.#runner.load.running;
  }

  async #callOnce(body: string): Promise<void> {
    const exchange = this.send(body);
    let [text, version] = ["", ""];
    for await (const { body: part } of exchange.read(0)) {
      if (part.case === "start") version = part.value.version;
      if (part.case === "data") text += new TextDecoder().decode(part.value);
      if (part.case === "refused") {
        this.refused += 1;
        return;
      }
    }
    const weights = weightsDigest(version.split("@")[1]!);
    const expected = expectedAnswer(weights, body).join("");
    if (text === expected) this.answered += 1;
    else this.wrong.push(`${body} from ${version}`);
  }
}

const digests = new Map<string, string>();

function weightsDigest(version: string): string {
  const known = digests.get(version) ??
    digestOf(weightsOf({ ...SHAPE, version }));
  digests.set(version, known);
  return known;
}
