import { readFile } from "node:fs/promises";

/**
 * How often the file is read. A platform may replace it without a signal, and a
 * process that knows only the old control hosts is cut off when the last of
 * them is gone. One small read every two seconds has no measurable cost.
 */
const POLL_INTERVAL_MILLISECONDS = 2_000;

type Options = {
  path: string;
  /** Called when the content differs from that of the last read. */
  onChange: () => Promise<void>;
  pollIntervalMilliseconds?: number;
};

/** Detects changes of a settings file that no signal announces. */
export class SettingsWatch {
  #options: Options;
  #content: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Starts polling. The content at the start does not count as a change. */
  async start(): Promise<void> {
    this.#content = await this.#read();
    const { pollIntervalMilliseconds = POLL_INTERVAL_MILLISECONDS } =
      this.#options;
    this.#timer = setInterval(
      () => this.checkForChange(),
      pollIntervalMilliseconds,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Reads the file now, and calls `onChange` if its content has changed. */
  async checkForChange(): Promise<void> {
    const content = await this.#read();
    if (content === this.#content) return;
    this.#content = content;
    await this.#options.onChange();
  }

  /**
   * Returns undefined if the file can't be read, for example while it is being
   * replaced. That counts as a change too: loading the settings then reports
   * why the file can't be read.
   */
  #read(): Promise<string | undefined> {
    return readFile(this.#options.path, "utf8").catch(() => undefined);
  }
}
