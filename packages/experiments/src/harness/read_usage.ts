import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

type Usage = {
  cpuSeconds: number;
  residentBytes: number;
  /** Read and written, sockets and files together. */
  bytes: number;
  /** Reads and writes: about one for each message or batch of them. */
  calls: number;
};

function field(text: string, name: string): number {
  const line = text.split("\n").find((one) => one.startsWith(`${name}:`));
  return Number(line?.split(/\s+/)[1] ?? 0);
}

/** What a process has used so far, from /proc. */
export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[21]) * PAGE_BYTES,
    bytes: field(io, "rchar") + field(io, "wchar"),
    calls: field(io, "syscr") + field(io, "syscw"),
  };
}
