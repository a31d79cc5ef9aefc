import type { PlaceRule } from "../dispatch/place_rule.ts";
import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { KnownEvacuations } from "./known_evacuations.ts";

/** Keeps all requests away from the backend servers of evacuated data centres. */
export class EvacuationRule implements PlaceRule {
  #evacuations: Pick<KnownEvacuations, "has">;

  constructor(evacuations: Pick<KnownEvacuations, "has">) {
    this.#evacuations = evacuations;
  }

  allows({ dataCentre }: BackendAnnouncement): boolean {
    return !this.#evacuations.has(dataCentre);
  }
}
