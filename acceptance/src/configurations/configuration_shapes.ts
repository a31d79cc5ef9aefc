import type { ConfigurationShape } from "./configuration_shape.ts";

/** Deployments that days are played on, by name. */
export const CONFIGURATION_SHAPES = {
  small: {
    gateways: 3,
    controlHosts: 3,
    seeds: 3,
    toleratedLosses: 1,
    dataCentres: ["here"],
    extraRoutes: 0,
    catchUpMilliseconds: 4_000,
    bounds: { apply: 2_000, contact: 3_000 },
  },
  wide: {
    gateways: 18,
    controlHosts: 6,
    seeds: 3,
    toleratedLosses: 2,
    dataCentres: ["here", "yonder", "beyond"],
    extraRoutes: 1_600,
    catchUpMilliseconds: 6_000,
    bounds: { apply: 2_500, contact: 4_000 },
  },
} satisfies Record<string, ConfigurationShape>;
