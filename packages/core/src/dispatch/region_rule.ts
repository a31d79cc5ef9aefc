import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { PlaceRule } from "./place_rule.ts";
import type { PlacedRequest } from "./placed_request.ts";

/**
 * Keeps requests in the regions that their route and their workspace allow. A
 * data centre whose region isn't known is in none of them.
 */
export class RegionRule implements PlaceRule {
  #regions = new Map<string, string>();

  /** @param regions region of each data centre. */
  constructor(regions: Readonly<Record<string, string>>) {
    this.replaceRegions(regions);
  }

  replaceRegions(regions: Readonly<Record<string, string>>): void {
    this.#regions = new Map(Object.entries(regions));
  }

  allows(
    { dataCentre }: BackendAnnouncement,
    { permittedRegions }: PlacedRequest,
  ): boolean {
    if (permittedRegions === undefined) return true;
    const region = this.#regions.get(dataCentre);
    return region !== undefined && permittedRegions.has(region);
  }
}
