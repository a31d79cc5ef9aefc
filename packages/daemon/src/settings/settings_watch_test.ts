import assert from "node:assert/strict";
import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { SettingsWatch } from "./settings_watch.ts";

// All control hosts that a gateway was told of are replaced by others. The
// platform writes the new ones into its settings file and sends no signal: the
// gateway, which read the file only at its start and on SIGHUP, asks for hosts
// that are gone until it is restarted.
test("a file that changes without a signal is noticed", async () => {
  const folder = mkdtempSync(join(tmpdir(), "teaselrouter-watch-"));
  const path = join(folder, "settings.toml");
  writeFileSync(path, 'control_hosts = ["10.0.0.1:8000"]');
  let changes = 0;
  let noteChange = () => {};
  const watch = new SettingsWatch({
    path,
    changed: () => {
      changes += 1;
      noteChange();
      return Promise.resolve();
    },
    readMilliseconds: 5,
  });
  await watch.start();
  await watch.check();
  assert.equal(changes, 0, "what stood at the start is no change");

  const noticed = new Promise<void>((resolve) => noteChange = resolve);
  const next = join(folder, "next.toml");
  writeFileSync(next, 'control_hosts = ["10.0.0.2:8000"]');
  renameSync(next, path);
  await noticed;
  watch.stop();
  assert.equal(changes, 1);

  rmSync(path);
  await watch.check();
  assert.equal(changes, 2, "a file that is gone is said so once");
  await watch.check();
  assert.equal(changes, 2);
  rmSync(folder, { recursive: true });
});
