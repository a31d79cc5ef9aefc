import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";

/** A process that an experiment started, and alone may end. */
export class Child {
  readonly name: string;
  readonly exited: Promise<number | null>;
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
    this.#process.stdout!.pipe(log);
    this.#process.stderr!.pipe(log);
    this.#process.stdout!.on("data", (bytes) => {
      this.output += bytes;
    });
    this.exited = new Promise((resolve) => {
      this.#process.once("close", (code) => resolve(code));
    });
  }

  get pid(): number {
    return this.#process.pid!;
  }

  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }
}
