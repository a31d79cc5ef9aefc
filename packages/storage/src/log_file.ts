import type { Buffer } from "node:buffer";

/** An append-only file; the edge to the disk that tests can make fail. */
export interface LogFile {
  write(bytes: Buffer, position: number): Promise<void>;
  sync(): Promise<void>;
  truncate(length: number): Promise<void>;
  close(): Promise<void>;
}
