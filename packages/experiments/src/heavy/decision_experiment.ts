import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { performance } from "node:perf_hooks";
import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { fleetPolicies } from "./fleet_policies.ts";
import { loadFleetSettings } from "./load_fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";

const ENGINES = 60;
const DECISIONS = 60_000;
const CALL_INTERVAL_MILLISECONDS = 5;
const HOLD_CALLS = 200;
const POLICIES = ["by-arrival", "product"];

/** Measures the processor time of one decision, in microseconds. */
export function decisionExperiment(): Promise<boolean> {
  const rows = POLICIES.map((policy) => {
    measure(policy);
    return [policy, measure(policy).toFixed(1)];
  });
  console.log(formatTable(["POLICY", "MICROSECONDS"], rows));
  return Promise.resolve(true);
}

function measure(policy: string): number {
  const settings = {
    ...loadFleetSettings("examples/fleet-24x12.toml"),
    engines: ENGINES,
  };
  const random = createSeededRandom(1);
  const dispatcher = fleetPolicies[policy]!({
    host: "host-0",
    dataCentre: "centre-0",
    settings,
    announcements: Array.from({ length: ENGINES }, (_, index) => ({
      instance: `engine-${index}`,
      service: "model",
      address: `engine-${index}`,
      dataCentre: `centre-${index % settings.data_centres}`,
      slots: settings.engine.slots,
      state: "ready" as const,
      bornAt: 0,
      sequence: 1,
      coldMilliseconds: 0,
      models: [],
    })),
    engines: [],
    random,
  });
  const sent: { call: ModelledCall; engine: number }[] = [];
  let spent = 0;
  for (let index = 0; index < DECISIONS; index += 1) {
    const now = index * CALL_INTERVAL_MILLISECONDS;
    const kind = settings.kinds[index % settings.kinds.length]!;
    const call: ModelledCall = {
      kind,
      dataCentre: "centre-0",
      workspace: `workspace-${Math.floor(random() * settings.workspaces)}`,
      host: 0,
      promptTokens: kind.prompt_tokens,
      answerTokens: kind.answer_tokens,
      expectedAnswerTokens: kind.answer_tokens,
      longestPauseMilliseconds: 0,
      startedAt: now,
      abandonedAt: now + kind.patience_ms,
      tries: 1,
      firstEventAt: undefined,
      outcome: undefined,
    };
    const load = { running: settings.engine.slots, waiting: random() * 3 };
    dispatcher.recordLoadReport(index % ENGINES, load, { now, age: 0 });
    dispatcher.recordEvent(index % ENGINES, now);
    const startedAt = performance.now();
    const decision = dispatcher.decide(call, now);
    spent += performance.now() - startedAt;
    if (decision.kind === "send") sent.push({ call, engine: decision.engine });
    if (sent.length <= HOLD_CALLS) continue;
    const { call: ended, engine } = sent.shift()!;
    dispatcher.recordFirstEvent(ended, engine, now);
    dispatcher.recordEnd(ended, engine, CALL_INTERVAL_MILLISECONDS);
  }
  return 1_000 * spent / DECISIONS;
}
