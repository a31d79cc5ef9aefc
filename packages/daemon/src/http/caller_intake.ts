import { BodyRoom } from "@teaselrouter/core/callers/body_room.ts";
import { divideMachine } from "@teaselrouter/core/callers/divide_machine.ts";
import { RequestRoom } from "@teaselrouter/core/callers/request_room.ts";
import type { Http2Session } from "node:http2";
import type { Socket } from "node:net";
import { totalmem } from "node:os";
import type { EventLog } from "../log/event_log.ts";
import type { Settings } from "../settings/settings.ts";
import { BlockPool } from "./block_pool.ts";
import { ReadTurns } from "./read_turns.ts";

const MEGABYTE = 1_048_576;
const CLOSED_INTERVAL_MILLISECONDS = 1_000;

type Options = {
  machine: Settings["machine"];
  /** Whether callers are served here; other hosts mainly if not. */
  servesCallers: boolean;
  /** Of all bodies together; a share of the machine's memory if absent. */
  maximumBodyBytes?: number | undefined;
  log?: EventLog;
};

/** What a process takes in from callers, over all its ports. */
export class CallerIntake {
  readonly share: ReturnType<typeof divideMachine>;
  readonly room: BodyRoom;
  readonly blocks = new BlockPool();
  readonly turns = new ReadTurns();
  readonly requests: RequestRoom<Socket>;
  /** For the streams of other hosts' connections beyond the usual few. */
  readonly streams: RequestRoom<Http2Session>;
  #log: EventLog | undefined;
  #closed = new Map<string, number>();

  constructor({ machine, servesCallers, maximumBodyBytes, log }: Options) {
    this.#log = log;
    const { memory_megabytes, descriptors } = machine;
    this.share = divideMachine({
      memoryBytes: memory_megabytes === undefined
        ? totalmem()
        : memory_megabytes * MEGABYTE,
      descriptors,
      servesCallers,
    });
    this.requests = new RequestRoom(this.share.waitingRequests);
    this.streams = new RequestRoom(this.share.hostStreams);
    this.room = new BodyRoom(maximumBodyBytes ?? this.share.bodyBytes);
  }

  /** Counts a connection that was closed for want of room; tells once a second. */
  countClosed(port: string): void {
    const count = this.#closed.get(port) ?? 0;
    this.#closed.set(port, count + 1);
    if (count > 0) return;
    setTimeout(() => {
      this.#log?.warn("connections-closed", {
        port,
        connections: this.#closed.get(port),
      });
      this.#closed.delete(port);
    }, CLOSED_INTERVAL_MILLISECONDS).unref();
  }
}
