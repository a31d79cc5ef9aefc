import type { PlaceRule } from "./place_rule.ts";

/** Lets every backend server get every request. */
export class AnyPlaceRule implements PlaceRule {
  allows(): boolean {
    return true;
  }
}
