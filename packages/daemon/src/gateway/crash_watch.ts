import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";
import { type Observable, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { askWhetherEnded } from "../transport/ask_whether_ended.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";

/** All connections of a process that ends close together. */
const GATHER_MILLISECONDS = 30;
/** A backend server that ended is back, or known to be gone, by then. */
const PENDING_MILLISECONDS = 15_000;

/** A request whose connection a backend server closed under it. */
type Break = {
  call: AdmittedCall;
  standing: BackendStanding;
  /** When its answer began, monotonic milliseconds; undefined if it had not. */
  begunAt: number | undefined;
};

type Suspected = EndedServer & { at: number };

type Options = {
  hasOpenConnection: (address: string) => boolean;
  backends$: Observable<BackendStanding[]>;
  log: EventLog;
};

/**
 * Tells the end of a backend server from the end of a connection: of the one
 * all that was under way there is a witness, of the other only a request.
 */
export class CrashWatch {
  readonly ended$ = new Subject<EndedServer>();
  #options: Options;
  #gathering = new Map<string, Suspected>();
  /** Not known yet whether they ended, by instance. */
  #pending = new Map<string, Suspected>();

  constructor(options: Options) {
    this.#options = options;
    options.backends$.subscribe((changed) => this.#takeChanges(changed));
  }

  /** Call it for each request that a backend server, not this host, broke. */
  note({ call, standing, begunAt }: Break): void {
    const now = monotonicMilliseconds();
    const begunMilliseconds = begunAt === undefined ? undefined : now - begunAt;
    const fingerprint = fingerprintCall(call);
    const known = this.#gathering.get(standing.instance);
    const interrupted = { call, fingerprint, begunMilliseconds };
    if (known !== undefined) return void known.interrupted.push(interrupted);
    const suspected = { standing, interrupted: [interrupted], at: now };
    this.#gathering.set(standing.instance, suspected);
    setTimeout(() => this.#look(suspected), GATHER_MILLISECONDS);
  }

  async #look(suspected: Suspected): Promise<void> {
    const { instance, address } = suspected.standing;
    this.#gathering.delete(instance);
    if (this.#options.hasOpenConnection(address)) return;
    const answer = await askWhetherEnded(address);
    if (answer === "ended") return this.#tell(suspected, "refuses");
    if (answer === "unknown") this.#pending.set(instance, suspected);
  }

  /** Another start at its address shows the end that could not be asked for. */
  #takeChanges(changed: BackendStanding[]): void {
    if (this.#pending.size === 0) return;
    const now = monotonicMilliseconds();
    for (const [instance, suspected] of [...this.#pending]) {
      const { standing, at } = suspected;
      const isReplaced = changed.some((later) =>
        later.address === standing.address && later.bornAt > standing.bornAt
      );
      if (!isReplaced && now - at <= PENDING_MILLISECONDS) continue;
      this.#pending.delete(instance);
      if (isReplaced) this.#tell(suspected, "replaced");
    }
  }

  #tell(ended: EndedServer, how: "refuses" | "replaced"): void {
    const { standing, interrupted } = ended;
    for (const { call, fingerprint, begunMilliseconds } of interrupted) {
      this.#options.log.info("backend-server-ended", {
        instance: standing.instance,
        address: standing.address,
        how,
        id: call.id,
        fingerprint,
        begun_milliseconds: begunMilliseconds === undefined
          ? "not"
          : Math.round(begunMilliseconds),
        interrupted: interrupted.length,
      });
    }
    this.ended$.next(ended);
  }
}
