import { open } from "node:fs/promises";

/** Makes the names in a folder last: a rename alone may be lost in a crash. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
