import type { Result } from "true-myth";
import type { Settings } from "../settings/settings.ts";

/** A running daemon process. */
export type Daemon = {
  /** Takes on what can change while it runs; faults are only logged. */
  reload: (settings: Result<Settings, string[]>) => void;
  /** A planned stop: cuts off nothing, then ends. */
  stop: () => Promise<void>;
};
