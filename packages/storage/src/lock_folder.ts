import { mkdir, open, readFile, rm } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { Result } from "true-myth";
import type { StorageProblem } from "./storage_problem.ts";

const LOCK_FILE = "lock";

function isRunning(pid: number): boolean {
  if (pid === process.pid) return false;
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return (error as { code?: string }).code === "EPERM";
  }
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
  const holder = Number(await readFile(path, "utf8").catch(() => "0"));
  if (holder > 0 && isRunning(holder)) {
    return Result.err({
      kind: "in-use",
      detail: `${folder} is in use by process ${holder}`,
    });
  }
  await rm(path, { force: true });
  const file = await open(path, "wx");
  await file.writeFile(String(process.pid));
  await file.close();
  return Result.ok(undefined);
}
