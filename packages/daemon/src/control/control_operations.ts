import type { BackendStanding } from "@teaselrouter/core/membership/backend_standing.ts";

type RoutingAnswer =
  | { kind: "accepted" }
  | { kind: "invalid"; detail: string }
  /** Nothing is known of its fate: it may be sent again. */
  | { kind: "unavailable" };

/** What operators and backend servers can ask of a control host. */
export interface ControlOperations {
  replaceRouting(document: string): Promise<RoutingAnswer>;
  /** The newest accepted configuration, or that none can be shown to be. */
  readRouting(): Promise<
    { kind: "document"; document: string } | { kind: "none" } | {
      kind: "unavailable";
    }
  >;
  nameWeights(
    named: { model: string; version: number },
  ): Promise<"accepted" | "unavailable">;
  hearStanding(standing: BackendStanding): void;
  hearLeaving(instance: string): void;
  /** Something that nobody could read, as from a newer or broken sender. */
  noteUnreadable(what: string, detail: string): void;
}
