import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { ColdBound } from "./cold_bound.ts";
import { coldSlots } from "./cold_slots.ts";

const BOUND: ColdBound = { overshoot: 1.5, slack: 5 };
const REQUESTS_PER_SECOND = 14;
/** Unix milliseconds. */
const TIME_OF_DAY = 1_000_000;

const SERVER: BackendAnnouncement = {
  instance: "engine",
  service: "writer",
  address: "10.0.0.1:80",
  dataCentre: "north",
  slots: 12,
  state: "ready",
  bornAt: TIME_OF_DAY,
  sequence: 1,
  coldMilliseconds: 0,
  models: [],
};

/** A cold backend server, and what simulated gateways know of it. */
export const COLD_FLEET = {
  coldStart: { milliseconds: 3_000, requestsPerSecond: REQUESTS_PER_SECOND },
  bound: BOUND,
  slots: coldSlots(REQUESTS_PER_SECOND, BOUND),
  minGateways: 6,
  /** Unix milliseconds at the start of the simulated time. */
  timeOfDay: TIME_OF_DAY,
  server: SERVER,
};
