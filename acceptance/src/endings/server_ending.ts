/** How a fake backend server ends, and how it comes back. */
export type ServerEnding = {
  /** From its end until its next start. */
  restartMilliseconds: number;
  /**
   * What its port does until then: refuse connections, close each that it
   * accepts, or answer each request as not run.
   */
  port: "refuses" | "closes" | "answers";
  /** How its connections end. */
  breakEnd: "close" | "reset";
  /** Whether its next start has the same name. */
  keepsName: boolean;
};
