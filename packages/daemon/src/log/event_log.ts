import { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import { Logger } from "tslog";
import type { EventName } from "./event_name.ts";
import { formatFields } from "./format_fields.ts";
import { LineWriter } from "./line_writer.ts";

const STANDARD_OUTPUT = 1;
/** A reader that is there takes some lines in a few milliseconds. */
const FLUSH_MILLISECONDS = 200;
const RING_CAPACITY = 2_000;
const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

type Level = keyof typeof LEVELS;
type Lines = Pick<LineWriter, "write" | "flush">;
type Fields = Record<string, unknown>;

/**
 * A process's events: one line of key=value pairs each on standard output,
 * and, but for debug ones, an entry of the time line.
 */
export class EventLog {
  readonly ring: TimelineRing;
  #lines: Lines;
  #countEvent: (event: EventName) => void;
  #logger: Logger<unknown>;

  constructor(
    processName: string,
    level: Level,
    /** Told each event's name. */
    countEvent: (event: EventName) => void = () => {},
    lines: Lines = new LineWriter(STANDARD_OUTPUT),
  ) {
    this.#lines = lines;
    this.#countEvent = countEvent;
    this.ring = new TimelineRing(processName, RING_CAPACITY);
    this.#logger = new Logger({
      type: "hidden",
      minLevel: LEVELS[level],
      // An event's name tells where it was written; finding the position in
      // the source would cost more than all the rest of a line.
      hideLogPositionForProduction: true,
      // No event bears a secret; to look for some copies every field.
      maskValuesOfKeys: [],
    });
    this.#logger.attachTransport((line) => {
      const { _meta, ...fields } = line as unknown as Fields & {
        _meta: { date: Date; logLevelName: string };
      };
      const head = {
        time: _meta.date.toISOString(),
        level: _meta.logLevelName.toLowerCase(),
        process: processName,
      };
      const isFailure = head.level === "warn" || head.level === "error";
      lines.write(
        `${formatFields({ ...head, ...fields })}\n`,
        isFailure ? "failure" : "usual",
      );
    });
  }

  /** Waits a little for the last lines, ahead of the process's end. */
  async flush(): Promise<void> {
    await this.#lines.flush(FLUSH_MILLISECONDS);
  }

  debug(event: EventName, fields: Fields = {}): void {
    this.#logger.debug({ event, ...fields });
  }

  info(event: EventName, fields: Fields = {}): void {
    this.#record(event, fields);
    this.#logger.info({ event, ...fields });
  }

  warn(event: EventName, fields: Fields = {}): void {
    this.#record(event, fields);
    this.#logger.warn({ event, ...fields });
  }

  error(event: EventName, fields: Fields = {}): void {
    this.#record(event, fields);
    this.#logger.error({ event, ...fields });
  }

  #record(event: EventName, fields: Fields): void {
    this.#countEvent(event);
    this.ring.record(Date.now(), event, formatFields(fields));
  }
}
