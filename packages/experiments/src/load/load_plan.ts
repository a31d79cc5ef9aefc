/** What the load driver process is told, as JSON in a file. */
export type LoadPlan = {
  entries: string[];
  workspace: string;
  seed: number;
  deadlineMilliseconds: number;
  streams: {
    service: string;
    callsPerSecond: number;
    kind: "engine" | "repeatable" | "unrepeatable";
  }[];
  weightDigests: Record<string, string>;
};
