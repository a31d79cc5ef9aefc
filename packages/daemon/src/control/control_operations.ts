import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { EvacuationAnswer } from "./evacuation_answer.ts";

type RoutingAnswer =
  | { kind: "accepted" }
  | { kind: "invalid"; detail: string }
  /** The outcome is unknown; the change can be sent again. */
  | { kind: "unavailable" };

/** The calls that operators and backend servers make to a control host. */
export interface ControlOperations {
  replaceRouting(document: string): Promise<RoutingAnswer>;
  /**
   * The latest committed configuration; `none` if there is none yet,
   * `unavailable` if no leader confirmed the read in time.
   */
  readRouting(): Promise<
    { kind: "document"; document: string } | { kind: "none" } | {
      kind: "unavailable";
    }
  >;
  nameWeights(
    named: { model: string; version: number },
  ): Promise<"accepted" | "unavailable">;
  /**
   * Evacuates a data centre, or ends its evacuation. The order is dropped when
   * `isWaiting` becomes false: its caller may have ordered something else since.
   */
  orderEvacuation(
    order: {
      dataCentre: string;
      isEvacuated: boolean;
      isWaiting: () => boolean;
    },
  ): Promise<EvacuationAnswer>;
  /**
   * Takes an announcement on. One that says that the backend server leaves is
   * accepted once it outlives this host. One that can't be right is invalid.
   */
  recordAnnouncement(
    announcement: BackendAnnouncement,
  ): Promise<"accepted" | "unavailable" | "invalid">;
  /** Takes on that a backend server is gone, and is accepted likewise. */
  recordEnd(instance: string): Promise<"accepted" | "unavailable">;
  /** Logs input that could not be decoded, as from a newer or broken sender. */
  logUnreadable(what: string, detail: string): void;
}
