import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { loadSettings } from "./load_settings.ts";

function settingsWith(dataFolder: string): string {
  return `
name = "van-1"
data_centre = "van"
roles = ["control"]
[internal]
listen = "127.0.0.1:7000"
[control]
data_folder = "${dataFolder}"
founders = [{ name = "van-1", address = "127.0.0.1:7000" }]
`;
}

test("a voter without a place for its data folder is refused", async () => {
  const folder = mkdtempSync(join(tmpdir(), "teaselrouter-settings-"));
  const path = join(folder, "settings.toml");
  writeFileSync(path, settingsWith(join(folder, "data")));
  assert.ok((await loadSettings(path)).isOk);
  writeFileSync(path, settingsWith("/nowhere/at/all"));
  const refused = await loadSettings(path);
  assert.ok(refused.isErr);
  assert.deepEqual(refused.error, [
    'control.data_folder: got "/nowhere/at/all"; ' +
    "the folder above it must exist",
  ]);
  rmSync(folder, { recursive: true });
});

test("a file that can't be read is named", async () => {
  const settings = await loadSettings("/nowhere/settings.toml");
  assert.ok(settings.isErr);
  assert.deepEqual(settings.error, ["/nowhere/settings.toml: can't be read"]);
});
