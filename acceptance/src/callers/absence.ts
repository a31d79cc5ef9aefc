/** Gateways that are away for a while, behind an end of a server. */
export type Absence = {
  /** The harmful end behind which they go, counted from 1. */
  behindCrash: number;
  /** Milliseconds behind that end. */
  delay: number;
  /** How many of them, the first ones. */
  gateways: number;
  milliseconds: number;
  how: "killed" | "frozen";
};
