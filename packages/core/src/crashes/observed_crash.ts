import type { CrashScene } from "./crash_scene.ts";

/** A crash at which a suspect was in flight. */
export type ObservedCrash = {
  scene: CrashScene;
  /**
   * Time from the start of an answer to the crash, the shortest of those that
   * the suspect stands for; undefined if none had started.
   */
  begunMilliseconds: number | undefined;
  /**
   * Times from sending the requests that the suspect stands for to the crash, as
   * far as known.
   */
  sentMilliseconds: number[];
  /** Whether all requests that the suspect stands for had been given up. */
  isGivenUp: boolean;
  /** Fingerprints of the requests in flight that the suspect stands for. */
  requests: Set<string>;
};
