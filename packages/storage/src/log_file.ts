import type { Buffer } from "node:buffer";

/** File operations for a log segment; tests implement them to inject faults. */
export interface LogFile {
  write(bytes: Buffer, position: number): Promise<void>;
  sync(): Promise<void>;
  truncate(length: number): Promise<void>;
  close(): Promise<void>;
}
