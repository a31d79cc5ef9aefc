import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";

/**
 * A child process of an experiment, which alone may end it. Its output is also
 * appended to a log file.
 */
export class Child {
  readonly name: string;
  /** Resolves to the exit code, or to null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  /** Everything the process has written to stdout so far. */
  output = "";
  #process: ChildProcess;

  constructor(
    options: { name: string; script: string; args: string[]; log: string },
  ) {
    this.name = options.name;
    this.#process = spawn(
      process.execPath,
      [options.script, ...options.args],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const log = createWriteStream(options.log, { flags: "a" });
    // Either may end first, and must not end the log of the other.
    this.#process.stdout!.pipe(log, { end: false });
    this.#process.stderr!.pipe(log, { end: false });
    this.#process.stdout!.on("data", (bytes) => {
      this.output += bytes;
    });
    this.exited = new Promise((resolve) => {
      this.#process.once("close", (code) => {
        log.end(() => resolve(code));
      });
    });
  }

  get pid(): number {
    return this.#process.pid!;
  }

  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }
}
