import type { CrashTrafficResult } from "./crash_traffic_result.ts";

/** One attempt of a request of simulated traffic; times in milliseconds. */
export type TrafficRequest = {
  fingerprint: string;
  parts: string[];
  /** Index of its kind; undefined for a harmless one. */
  kind: number | undefined;
  /** Index of the gateway that sent it. */
  gateway: number;
  sentAt: number;
  /** Undefined until the first byte of its answer has come. */
  begunAt: number | undefined;
  /** Whether its answer begins before its end. */
  hasHead: boolean;
  /** From when its server starts on it. */
  firstByteMilliseconds: number;
  /** From its first byte on. */
  lengthMilliseconds: number;
  /** Infinity while it waits at its server. */
  firstByteAt: number;
  endsAt: number;
  /** When its caller leaves; its server goes on. */
  leavesAt: number;
  /** Whether it had to wait at its server when it was sent. */
  hasWaited: boolean;
  isGivenUp: boolean;
  /** How many times its caller sends it again behind a failure. */
  repeatsLeft: number;
  /** Undefined for a harmful request. */
  outcome: CrashTrafficResult["harmless"][number] | undefined;
};
