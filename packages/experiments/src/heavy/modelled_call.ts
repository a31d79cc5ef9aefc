import type { CallEnd } from "./call_end.ts";
import type { FleetSettings } from "./fleet_settings.ts";

/** One call of a modelled caller, over all of its tries. */
export type ModelledCall = {
  kind: FleetSettings["kinds"][number];
  dataCentre: string;
  promptTokens: number;
  answerTokens: number;
  startedAt: number;
  /** Times in milliseconds of the model's clock. */
  endsAt: number;
  tries: number;
  firstEventAt: number | undefined;
  end: CallEnd | undefined;
};
