import type { ConfigurationBounds } from "./configuration_record.ts";

/** The deployment that a day is played on. */
export type ConfigurationShape = {
  gateways: number;
  controlHosts: number;
  /** Control hosts that settings files name. */
  seeds: number;
  /** Control hosts whose disks may be lost at once. */
  toleratedLosses: number;
  dataCentres: string[];
  /** Routes that nobody asks for. */
  extraRoutes: number;
  /** From the start of an empty control host until its loss no longer counts. */
  catchUpMilliseconds: number;
  bounds: ConfigurationBounds;
};
