import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import { chooseBackend } from "@teaselrouter/core/gateway/choose_backend.ts";
import { decidePlacement } from "@teaselrouter/core/gateway/decide_placement.ts";
import type { EngineDefinition } from "@teaselrouter/core/gateway/engine_definition.ts";
import { noteUsualLoad } from "@teaselrouter/core/gateway/note_usual_load.ts";
import { pickHomeBackends } from "@teaselrouter/core/gateway/pick_home_backends.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import { SlotPressure } from "@teaselrouter/core/gateway/slot_pressure.ts";
import { UsualPatience } from "@teaselrouter/core/gateway/usual_patience.ts";
import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import type { Decider } from "./decider.ts";
import type { Decision } from "./decision.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";

const RANK = 1;
const LATE_RANK = 6;

type Options = {
  host: string;
  dataCentre: string;
  settings: FleetSettings;
  standings: BackendStanding[];
  random: () => number;
};

/** Decides by the very modules that a gateway decides by. */
export class ProductDecider implements Decider {
  #options: Options;
  #choices: BackendChoice[];
  #home: ReadonlySet<string>;
  #engine: EngineDefinition;
  #pressure = new SlotPressure();
  #patience = new UsualPatience();
  #timely = new Set<ModelledCall>();

  constructor(options: Options) {
    this.#options = options;
    this.#choices = options.standings.map((standing) => ({
      standing,
      record: new BackendRecord(),
    }));
    this.#home = pickHomeBackends(options.standings, options);
    this.#engine = definitionOf(options.settings);
  }

  decide(call: ModelledCall, now: number): Decision {
    const { dataCentre, random } = this.#options;
    noteUsualLoad(this.#choices, now);
    const promising = this.#choices.filter(({ record }) =>
      record.isPromising(now)
    );
    const patience = call.endsAt - now;
    const choice = chooseBackend(promising, {
      dataCentre,
      promptTokens: call.promptTokens,
      engine: this.#engine,
      home: this.#home,
      random,
      now,
    });
    if (choice === undefined) return this.#refuse("outage", patience);
    const spentBefore = this.#patience.spentBefore(routeOf(call), patience);
    const placement = decidePlacement(choice, {
      engine: this.#engine,
      promptTokens: call.promptTokens,
      targetLeftMilliseconds: call.kind.target_ms - spentBefore,
      slotPressure: this.#pressure.share,
      now,
    });
    if (spentBefore === 0) {
      this.#pressure.note(
        placement.forecast!.requests >= choice.standing.slots,
      );
    }
    if (placement.kind === "refused") {
      return this.#refuse("overload", patience);
    }
    this.#noteSend(call, choice, placement.kind === "timely", now);
    return {
      kind: "send",
      engine: this.#choices.indexOf(choice),
      rank: placement.kind === "timely" ? RANK : LATE_RANK,
    };
  }

  noteFirstEvent(call: ModelledCall, engine: number, now: number): void {
    const { record } = this.#choices[engine]!;
    this.#noteRead(call, record);
    record.noteHeard(now);
    record.countSuccess();
    record.endTrial();
  }

  noteEnd(call: ModelledCall, engine: number, hold: number | undefined): void {
    const { record } = this.#choices[engine]!;
    record.inFlight -= 1;
    if (hold === undefined) this.#noteRead(call, record);
    else record.noteHold(hold);
  }

  noteRejected(call: ModelledCall, engine: number, now: number): void {
    this.noteEnd(call, engine, undefined);
    this.#choices[engine]!.record.leaveAside(now);
  }

  hearLoad(
    engine: number,
    load: { running: number; waiting: number },
    { now, age }: { now: number; age: number },
  ): void {
    const { slots } = this.#options.settings.engine;
    this.#choices[engine]!.record.takeReport({ ...load, slots }, now, age);
  }

  #noteSend(
    call: ModelledCall,
    { record }: BackendChoice,
    isTimely: boolean,
    now: number,
  ): void {
    record.noteSend(now);
    record.inFlight += 1;
    record.unreadTokens += call.promptTokens;
    if (!isTimely) return;
    record.timelyUnread += 1;
    this.#timely.add(call);
  }

  #noteRead(call: ModelledCall, record: BackendRecord): void {
    record.unreadTokens -= call.promptTokens;
    if (this.#timely.delete(call)) record.timelyUnread -= 1;
  }

  #refuse(cause: "outage" | "overload", patience: number): Decision {
    const retryAfterMilliseconds = retryAfter({
      cause,
      patienceMilliseconds: patience,
      random: this.#options.random(),
    });
    return { kind: "refuse", retryAfterMilliseconds };
  }
}

function routeOf({ kind }: ModelledCall): Route {
  return {
    name: kind.name,
    host: "model",
    pathPrefix: "/",
    kind: "stream",
    timeoutMilliseconds: kind.patience_ms,
    targetMilliseconds: kind.target_ms,
    priority: RANK,
    targets: [{ service: "model", weight: 1 }],
    maxBackends: 2,
    needsKey: false,
    resumable: true,
  };
}

function definitionOf({ engine, look_ms }: FleetSettings): EngineDefinition {
  return {
    models: ["model"],
    slots: engine.slots,
    contextTokens: 0,
    weightChunks: 0,
    weightChunkBytes: 0,
    stepMilliseconds: engine.step_ms,
    stepPerRequestMilliseconds: engine.step_per_request_ms,
    stepPerThousandTokensMilliseconds: 0,
    readTokensPerSecond: engine.read_tokens_per_ms * 1_000,
    stepsPerPass: engine.steps_per_pass,
    reportLagMilliseconds: look_ms,
  };
}
