import { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import { Logger } from "tslog";
import type { EventName } from "./event_name.ts";
import { formatFields } from "./format_fields.ts";
import { LineWriter } from "./line_writer.ts";

const STANDARD_OUTPUT = 1;
/** A reader that is not stuck takes some lines within a few milliseconds. */
const MAX_FLUSH_MILLISECONDS = 200;
const TIMELINE_CAPACITY = 2_000;
const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

type Level = keyof typeof LEVELS;
type LineSink = Pick<LineWriter, "write" | "flush">;
type Fields = Record<string, unknown>;

/**
 * Logs a process's events. Each event is one line of key=value pairs on
 * standard output and, except for debug events, an entry in the timeline.
 */
export class EventLog {
  readonly timeline: TimelineRing;
  #sink: LineSink;
  #countEvent: (event: EventName) => void;
  #logger: Logger<unknown>;
  #writesDebug: boolean;

  constructor(
    processName: string,
    level: Level,
    /** Called with the name of each event except debug events. */
    countEvent: (event: EventName) => void = () => {},
    sink: LineSink = new LineWriter(STANDARD_OUTPUT),
  ) {
    this.#sink = sink;
    this.#countEvent = countEvent;
    this.#writesDebug = LEVELS[level] <= LEVELS.debug;
    this.timeline = new TimelineRing(processName, TIMELINE_CAPACITY);
    this.#logger = new Logger({
      type: "hidden",
      minLevel: LEVELS[level],
      // The event's name identifies where it was logged; determining the
      // position in the source would cost more than all the rest of a line.
      hideLogPositionForProduction: true,
      // Events contain no secrets, and masking would copy every field.
      maskValuesOfKeys: [],
    });
    this.#logger.attachTransport((line) => {
      const { _meta, event, text } = line as unknown as {
        _meta: { date: Date; logLevelName: string };
        event: EventName;
        text: string;
      };
      const head = {
        time: _meta.date.toISOString(),
        level: _meta.logLevelName.toLowerCase(),
        process: processName,
        event,
      };
      const isFailure = head.level === "warn" || head.level === "error";
      sink.write(
        `${formatFields(head)}${text === "" ? "" : ` ${text}`}\n`,
        isFailure ? "failure" : "usual",
      );
    });
  }

  /** Waits briefly for the last lines to be written before the process ends. */
  async flush(): Promise<void> {
    await this.#sink.flush(MAX_FLUSH_MILLISECONDS);
  }

  debug(event: EventName, fields: Fields = {}): void {
    if (!this.#writesDebug) return;
    this.#logger.debug({ event, text: formatFields(fields) });
  }

  info(event: EventName, fields: Fields = {}): void {
    this.#logger.info({ event, text: this.#record(event, fields) });
  }

  warn(event: EventName, fields: Fields = {}): void {
    this.#logger.warn({ event, text: this.#record(event, fields) });
  }

  error(event: EventName, fields: Fields = {}): void {
    this.#logger.error({ event, text: this.#record(event, fields) });
  }

  /** @returns the formatted fields. */
  #record(event: EventName, fields: Fields): string {
    const text = formatFields(fields);
    this.#countEvent(event);
    this.timeline.record(Date.now(), event, text);
    return text;
  }
}
