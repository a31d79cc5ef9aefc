import { BodyRoom } from "@teaselrouter/core/callers/body_room.ts";
import { divideMachine } from "@teaselrouter/core/callers/divide_machine.ts";
import { totalmem } from "node:os";
import type { Settings } from "../settings/settings.ts";
import { BlockPool } from "./block_pool.ts";
import { ReadTurns } from "./read_turns.ts";

const MEGABYTE = 1_048_576;

type Options = {
  machine: Settings["machine"];
  /** Of all bodies together; a share of the machine's memory if absent. */
  maximumBodyBytes?: number | undefined;
};

/** What a process takes in from callers, over all its ports. */
export class CallerIntake {
  readonly share: ReturnType<typeof divideMachine>;
  readonly room: BodyRoom;
  readonly blocks = new BlockPool();
  readonly turns = new ReadTurns();

  constructor({ machine, maximumBodyBytes }: Options) {
    const { memory_megabytes, descriptors } = machine;
    this.share = divideMachine({
      memoryBytes: memory_megabytes === undefined
        ? totalmem()
        : memory_megabytes * MEGABYTE,
      descriptors,
    });
    this.room = new BodyRoom(maximumBodyBytes ?? this.share.bodyBytes);
  }
}
