import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { loadSettings } from "./load_settings.ts";

function formatSettings(dataFolder: string): string {
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

test("a control host whose data folder has no parent folder is refused", async () => {
  const folder = mkdtempSync(join(tmpdir(), "teaselrouter-settings-"));
  const path = join(folder, "settings.toml");
  writeFileSync(path, formatSettings(join(folder, "data")));
  assert.ok((await loadSettings(path)).isOk);
  writeFileSync(path, formatSettings("/nowhere/at/all"));
  const refused = await loadSettings(path);
  assert.ok(refused.isErr);
  assert.deepEqual(refused.error, [
    'control.data_folder: got "/nowhere/at/all"; ' +
    "the folder above it must exist",
  ]);
  rmSync(folder, { recursive: true });
});

test("an unreadable settings file is named in the error", async () => {
  const settings = await loadSettings("/nowhere/settings.toml");
  assert.ok(settings.isErr);
  assert.deepEqual(settings.error, ["/nowhere/settings.toml: can't be read"]);
});
