import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { PlaceRule } from "./place_rule.ts";
import type { PlacedRequest } from "./placed_request.ts";

/** Allows what each of its rules allows. */
export class AllPlaceRules implements PlaceRule {
  #rules: readonly PlaceRule[];

  constructor(rules: readonly PlaceRule[]) {
    this.#rules = rules;
  }

  allows(announcement: BackendAnnouncement, request: PlacedRequest): boolean {
    return this.#rules.every((rule) => rule.allows(announcement, request));
  }
}
