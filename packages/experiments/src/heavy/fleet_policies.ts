import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Decider } from "./decider.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { KnowingDecider } from "./knowing_decider.ts";
import type { ModelledEngine } from "./modelled_engine.ts";
import { NaiveDecider } from "./naive_decider.ts";
import { ProductDecider } from "./product_decider.ts";

type World = {
  host: string;
  dataCentre: string;
  settings: FleetSettings;
  standings: BackendAnnouncement[];
  engines: readonly ModelledEngine[];
  random: () => number;
};

/** How one host decides, by the name of the policy. */
export const fleetPolicies: Record<string, (world: World) => Decider> = {
  product: (world) => new ProductDecider(world),
  naive: ({ engines, random }) => new NaiveDecider(engines.length, random),
  knowing: (world) => new KnowingDecider(world),
};
