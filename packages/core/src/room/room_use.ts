/** One request's use of a backend server's room. */
export interface RoomUse {
  /** Its answer has begun, or it has ended without one. */
  endWait(): void;
  /** Its answer was complete. */
  recordHold(milliseconds: number): void;
  /** The backend server no longer has it. */
  end(): void;
}
