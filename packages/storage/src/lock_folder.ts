import { mkdir, readFile, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { Result } from "true-myth";
import { isDiskFull } from "./is_disk_full.ts";
import type { StorageProblem } from "./storage_problem.ts";

const LOCK_FILE = "lock";

/** Fields of /proc/PID/stat behind the command's name, which may have spaces. */
const START_TIME_FIELD = 19;

/**
 * When a process was started, in the kernel's ticks; undefined when it is
 * not running. A process id alone tells nothing: after a kill it is soon
 * another process's, and the folder would stay locked for good.
 */
async function startTimeOf(pid: number): Promise<string | undefined> {
  const text = await readFile(`/proc/${pid}/stat`, "utf8")
    .catch(() => undefined);
  const fields = text?.slice(text.lastIndexOf(")") + 2).split(" ");
  return fields?.[START_TIME_FIELD];
}

async function isHeld(holder: string): Promise<boolean> {
  const [pid, startTime] = holder.split(" ");
  if (pid === undefined || pid === "" || Number(pid) === process.pid) {
    return false;
  }
  return startTime !== undefined &&
    startTime === await startTimeOf(Number(pid));
}

/**
 * Keeps two processes from writing one data folder. A lock whose process is
 * gone was left by a kill and is taken over.
 */
export async function lockFolder(
  folder: string,
): Promise<Result<void, StorageProblem>> {
  await mkdir(folder, { recursive: true });
  const path = join(folder, LOCK_FILE);
  const holder = await readFile(path, "utf8").catch(() => "");
  if (await isHeld(holder)) {
    return Result.err({
      kind: "in-use",
      detail: `${folder} is in use by process ${holder.split(" ")[0]}`,
    });
  }
  await rm(path, { force: true });
  const own = `${process.pid} ${await startTimeOf(process.pid)}`;
  try {
    await writeFile(path, own, { flag: "wx" });
  } catch (error) {
    // A full disk takes no lock, and nothing of a second process either.
    if (!isDiskFull(error)) throw error;
  }
  return Result.ok(undefined);
}
