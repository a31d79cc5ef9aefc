import { mkdir, readFile, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { Result } from "true-myth";
import { isDiskFull } from "./is_disk_full.ts";
import type { StorageProblem } from "./storage_problem.ts";

const LOCK_FILE = "lock";

/**
 * Index of the start time among the fields of /proc/PID/stat that follow the
 * command's name. The name itself may contain spaces.
 */
const START_TIME_INDEX = 19;

/**
 * Reads a process's start time in kernel clock ticks; undefined if it is not
 * running. The process id alone does not identify a process: soon after a kill
 * another process may get the same id, and the folder would stay locked for
 * good.
 */
async function readStartTime(pid: number): Promise<string | undefined> {
  const text = await readFile(`/proc/${pid}/stat`, "utf8")
    .catch(() => undefined);
  const fields = text?.slice(text.lastIndexOf(")") + 2).split(" ");
  return fields?.[START_TIME_INDEX];
}

/**
 * Whether another running process holds the lock; `holder` is the content of
 * the lock file, "PID START_TIME".
 */
async function isHeldByOther(holder: string): Promise<boolean> {
  const [pid, startTime] = holder.split(" ");
  if (pid === undefined || pid === "" || Number(pid) === process.pid) {
    return false;
  }
  return startTime !== undefined &&
    startTime === await readStartTime(Number(pid));
}

/**
 * Locks a data folder, so that no two processes write to it. Creates the folder
 * if it is missing. A lock whose process no longer runs is stale, left by a
 * kill, and is taken over.
 */
export async function lockFolder(
  folder: string,
): Promise<Result<void, StorageProblem>> {
  await mkdir(folder, { recursive: true });
  const path = join(folder, LOCK_FILE);
  const holder = await readFile(path, "utf8").catch(() => "");
  if (await isHeldByOther(holder)) {
    return Result.err({
      kind: "in-use",
      detail: `${folder} is in use by process ${holder.split(" ")[0]}`,
    });
  }
  await rm(path, { force: true });
  const ownLock = `${process.pid} ${await readStartTime(process.pid)}`;
  try {
    await writeFile(path, ownLock, { flag: "wx" });
  } catch (error) {
    // On a full disk no lock can be written, but a second process can't write
    // to the folder either.
    if (!isDiskFull(error)) throw error;
  }
  return Result.ok(undefined);
}
