/** Hosts that lose power at the same moment, behind an end of a server. */
export type PowerLoss = {
  /** The harmful end behind which it comes, counted from 1. */
  behindCrash: number;
  /** Milliseconds behind that end. */
  delay: number;
  hosts: "all" | "control" | "gateways";
};
