import { CallerIntake } from "./caller_intake.ts";

/** An intake of the usual size, for tests. */
export function createTestIntake(maximumBodyBytes?: number): CallerIntake {
  return new CallerIntake({
    machine: { descriptors: 4_096 },
    servesCallers: true,
    maximumBodyBytes,
  });
}
