import type { Result } from "true-myth";
import type { Settings } from "../settings/settings.ts";

/** A running daemon process. */
export type Daemon = {
  /**
   * Applies the settings that can change at runtime; invalid settings are only
   * logged.
   */
  reload: (settings: Result<Settings, string[]>) => void;
  /**
   * Stops as planned. Resolves after the calls in progress have ended; a
   * gateway waits for them no longer than its grace time.
   */
  stop: () => Promise<void>;
};
