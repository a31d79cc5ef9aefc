import { readdirSync, readFileSync } from "node:fs";

const INTERVAL_MILLISECONDS = 50;
/** The most that was resident at any time, as the kernel counts it. */
const MOST_RESIDENT = /^VmHWM:\s+(\d+) kB$/m;
const KILOBYTES_OF_A_MEGABYTE = 1_024;

type Usage = { megabytes: number; descriptors: number };

/** Watches from outside what a process uses, as its machine's limits count it. */
export class UsageWatch {
  /** The most of each that was seen. */
  readonly most: Usage = { megabytes: 0, descriptors: 0 };
  #pid: number;
  #timer: NodeJS.Timeout;

  constructor(pid: number) {
    this.#pid = pid;
    this.#timer = setInterval(() => this.read(), INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Throws if the process has ended. */
  read(): void {
    const status = readFileSync(`/proc/${this.#pid}/status`, "utf8");
    const megabytes = Number(MOST_RESIDENT.exec(status)?.[1]) /
      KILOBYTES_OF_A_MEGABYTE;
    const descriptors = readdirSync(`/proc/${this.#pid}/fd`).length;
    this.most.megabytes = Math.max(this.most.megabytes, megabytes);
    this.most.descriptors = Math.max(this.most.descriptors, descriptors);
  }
}
