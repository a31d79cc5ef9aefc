import { readFile } from "node:fs/promises";

/**
 * How often the file is read: a platform may replace it without a signal, and
 * a process that keeps to control hosts that are gone is cut off with its
 * last one. One small read every two seconds costs nothing measurable.
 */
const READ_MILLISECONDS = 2_000;

type Options = {
  path: string;
  /** Called when the content is another than the last that was read. */
  changed: () => Promise<void>;
  readMilliseconds?: number;
};

/** Notices that a settings file has changed, also where no signal says so. */
export class SettingsWatch {
  #options: Options;
  #content: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** The content that stands at the start is no change. */
  async start(): Promise<void> {
    this.#content = await this.#read();
    const { readMilliseconds = READ_MILLISECONDS } = this.#options;
    this.#timer = setInterval(() => this.check(), readMilliseconds);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Reads the file now. */
  async check(): Promise<void> {
    const content = await this.#read();
    if (content === this.#content) return;
    this.#content = content;
    await this.#options.changed();
  }

  /**
   * Undefined where it can't be read, as while it is being replaced: that is a
   * change too, and whoever loads the settings then says why it can't.
   */
  #read(): Promise<string | undefined> {
    return readFile(this.#options.path, "utf8").catch(() => undefined);
  }
}
