import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

type Usage = {
  cpuSeconds: number;
  residentBytes: number;
  /** Bytes read and written, by sockets and files together. */
  ioBytes: number;
  /** Read and write system calls: about one per message or batch. */
  ioCalls: number;
};

function readField(text: string, name: string): number {
  const line = text.split("\n").find((row) => row.startsWith(`${name}:`));
  return Number(line?.split(/\s+/)[1] ?? 0);
}

/** Reads a process's resource usage since its start from /proc. */
export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[21]) * PAGE_BYTES,
    ioBytes: readField(io, "rchar") + readField(io, "wchar"),
    ioCalls: readField(io, "syscr") + readField(io, "syscw"),
  };
}
