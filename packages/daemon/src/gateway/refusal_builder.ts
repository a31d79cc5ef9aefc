import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import { blameFields } from "../log/blame_fields.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { GatewayWorld } from "./gateway_world.ts";

/** Who was kept off together must not come back together. */
const LIMIT_SPREAD = 0.5;

type Cause = "outage" | "overload" | "busy";

/** Words the refusals of one request, by what is known of its runs. */
export class CallRefuser {
  /** A backend server may have begun to work on it. */
  mayHaveRun = false;
  #world: GatewayWorld;
  #call: AdmittedCall;

  constructor(world: GatewayWorld, call: AdmittedCall) {
    this.#world = world;
    this.#call = call;
  }

  /** "Not run" is said only of what no backend server can have begun. */
  refusal(reason: string, cause: Cause): CallRefusal {
    const patienceMilliseconds = this.#call.endsAt - this.#call.startedAt;
    const random = this.#world.random();
    return this.#promise(
      reason,
      retryAfter({ cause, patienceMilliseconds, random }),
    );
  }

  /** It ends what runs it: it is of no use to come back within the term. */
  blamed(blame: Blame): CallRefusal {
    const now = monotonicMilliseconds();
    this.#world.log.info("blamed-request-refused", {
      id: this.#call.id,
      ...blameFields(blame, now),
      outcome: this.mayHaveRun ? "unknown" : "not-run",
    });
    const reason = `${blame.crashes} backend servers ended under it`;
    return this.#promise(reason, blame.endsAt - now);
  }

  /** Backend servers that could take it have used up what they named. */
  limited(untilRoom: number): CallRefusal {
    return this.#promise(
      "its backend servers have named limits",
      untilRoom * (1 + LIMIT_SPREAD * this.#world.random()),
    );
  }

  #promise(reason: string, retryAfterMilliseconds: number): CallRefusal {
    return this.mayHaveRun
      ? { status: 502, reason }
      : { status: 503, reason, retryAfterMilliseconds };
  }
}
