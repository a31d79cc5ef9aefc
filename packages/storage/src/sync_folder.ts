import { open } from "node:fs/promises";

/**
 * Syncs a folder's entries to disk. Without this a crash may undo a rename or
 * the creation of a file.
 */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
