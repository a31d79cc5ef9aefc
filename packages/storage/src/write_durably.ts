import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { syncFolder } from "./sync_folder.ts";

/** Replaces a file atomically: a crash leaves the old content or the new. */
export async function writeDurably(
  path: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporary = `${path}.new`;
  const file = await open(temporary, "w");
  try {
    await file.writeFile(bytes);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}
