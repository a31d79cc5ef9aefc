import assert from "node:assert/strict";
import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { SettingsWatch } from "./settings_watch.ts";

// All control hosts that a gateway knows are replaced by others. The platform
// writes the new ones into the gateway's settings file and sends no signal. A
// gateway that read the file only at its start and on SIGHUP would try hosts
// that are gone until it is restarted.
test("a file that changes without a signal is detected", async () => {
  const folder = mkdtempSync(join(tmpdir(), "teaselrouter-watch-"));
  const path = join(folder, "settings.toml");
  writeFileSync(path, 'control_hosts = ["10.0.0.1:8000"]');
  let changes = 0;
  let resolveNoticed = () => {};
  const watch = new SettingsWatch({
    path,
    onChange: () => {
      changes += 1;
      resolveNoticed();
      return Promise.resolve();
    },
    pollIntervalMilliseconds: 5,
  });
  await watch.start();
  await watch.checkForChange();
  assert.equal(changes, 0, "the content at the start is no change");

  const noticed = new Promise<void>((resolve) => resolveNoticed = resolve);
  const next = join(folder, "next.toml");
  writeFileSync(next, 'control_hosts = ["10.0.0.2:8000"]');
  renameSync(next, path);
  await noticed;
  watch.stop();
  assert.equal(changes, 1);

  rmSync(path);
  await watch.checkForChange();
  assert.equal(changes, 2, "a missing file is one change");
  await watch.checkForChange();
  assert.equal(changes, 2);
  rmSync(folder, { recursive: true });
});
