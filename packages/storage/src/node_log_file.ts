import type { Buffer } from "node:buffer";
import { type FileHandle, open } from "node:fs/promises";
import type { LogFile } from "./log_file.ts";

/** A log file in the local file system. */
export class NodeLogFile implements LogFile {
  #handle: FileHandle;

  private constructor(handle: FileHandle) {
    this.#handle = handle;
  }

  static async open(path: string): Promise<NodeLogFile> {
    return new NodeLogFile(await open(path, "a+").then(reopenForUpdate(path)));
  }

  async write(bytes: Buffer, position: number): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const { bytesWritten } = await this.#handle.write(
        bytes,
        written,
        bytes.length - written,
        position + written,
      );
      written += bytesWritten;
    }
  }

  async sync(): Promise<void> {
    await this.#handle.datasync();
  }

  async truncate(length: number): Promise<void> {
    await this.#handle.truncate(length);
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}

/**
 * Reopens a file that "a+" created for update ("r+"): Linux ignores the
 * position of a write to a file that is open for appending.
 */
function reopenForUpdate(path: string) {
  return async (created: FileHandle): Promise<FileHandle> => {
    await created.close();
    return open(path, "r+");
  };
}
