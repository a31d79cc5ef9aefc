/** Error of `EngineClient.readState` if the answer does not hold the state. */
export const STATE_UNREADABLE = "engine-state-unreadable";
