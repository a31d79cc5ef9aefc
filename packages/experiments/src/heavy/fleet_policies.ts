import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { OracleDispatcher } from "./oracle_dispatcher.ts";
import type { ModelledEngine } from "./modelled_engine.ts";
import { RoundRobinDispatcher } from "./round_robin_dispatcher.ts";
import { GatewayDispatcher } from "./gateway_dispatcher.ts";

/** All that any of the dispatchers needs. */
type DispatcherOptions = {
  host: string;
  dataCentre: string;
  settings: FleetSettings;
  announcements: BackendAnnouncement[];
  engines: readonly ModelledEngine[];
  random: () => number;
};

/** Creates one host's dispatcher, by the name of the policy. */
export const fleetPolicies: Record<
  string,
  (options: DispatcherOptions) => Dispatcher
> = {
  product: (options) =>
    new GatewayDispatcher({
      ...options,
      isContested: hasSeveralPriorities(options.settings),
      heedsPace: true,
    }),
  "by-arrival": (options) =>
    new GatewayDispatcher({ ...options, isContested: false, heedsPace: true }),
  counting: (options) =>
    new GatewayDispatcher({ ...options, isContested: false, heedsPace: false }),
  naive: ({ engines, random }) =>
    new RoundRobinDispatcher(engines.length, random),
  knowing: (options) => new OracleDispatcher(options),
};

function hasSeveralPriorities({ kinds }: FleetSettings): boolean {
  return new Set(kinds.map(({ priority }) => priority)).size > 1;
}
