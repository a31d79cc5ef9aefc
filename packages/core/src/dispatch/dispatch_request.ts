import type { EngineDefinition } from "../gateway/engine_definition.ts";

/** What the decision on one request knows of it. */
export type DispatchRequest = {
  /** Id of the client's attempt. */
  id: string;
  /** Name of the route, which stands for a kind of request. */
  route: string;
  service: string;
  /** See `UrgencyLevels`; 0 is the most urgent. */
  urgency: number;
  /** Undefined where the route needs no key. */
  workspace: string | undefined;
  /** Undefined for services without model engines. */
  engine: EngineDefinition | undefined;
  promptTokens: number;
  /** The client's estimate of the generated tokens; often far off. */
  expectedOutputTokens: number | undefined;
  /** Largest number of tokens that may be generated; 0 if not given. */
  maxOutputTokens: number;
  /**
   * Time left until the answer, or a stream's first event, becomes late,
   * milliseconds; negative once it is late.
   */
  targetLeftMilliseconds: number;
  /** Time for which the client goes on waiting, milliseconds. */
  patienceLeftMilliseconds: number;
  /** Whether the client has not been refused before. */
  isFirstTry: boolean;
  /** Whether an earlier decision left this attempt waiting. */
  isDecidedAgain?: boolean;
  /** Backend servers that it was sent to before. */
  previousSends: number;
  /** Whether the client has a part of the answer already. */
  hasBegun: boolean;
  /** Monotonic milliseconds. */
  now: number;
};
