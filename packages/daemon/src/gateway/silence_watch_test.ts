import { ListeningTime } from "@teaselrouter/core/gateway/listening_time.ts";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { SilenceWatch } from "./silence_watch.ts";

// Guards against one silent backend server ending the attempts at others, and
// against decisions about attempts that are no longer watched.
test("only silent attempts that are watched are reported", () => {
  mock.timers.enable({ apis: ["setInterval", "setImmediate"] });
  const watch = new SilenceWatch(new ListeningTime());
  const reported: string[] = [];
  const stops = new Map<string, () => void>();
  const attempt = (name: string, isSilent: boolean) =>
    stops.set(
      name,
      watch.watch({
        isSilent: () => isSilent,
        onSilence: () => {
          reported.push(name);
          stops.get("stopped by the first")!();
        },
      }),
    );
  attempt("silent", true);
  attempt("responding", false);
  attempt("stopped by the first", true);
  attempt("unwatched", true);
  stops.get("unwatched")!();
  mock.timers.tick(200);
  mock.timers.tick(1);
  mock.timers.reset();
  assert.deepEqual(reported, ["silent"]);
});

// Guards against a host that stood still taking the data that waited for it
// meanwhile for silence.
test("what arrived during a stall is read before silence is judged", async () => {
  const watch = new SilenceWatch(new ListeningTime());
  let hasRead = false;
  const judged = new Promise<boolean>((resolve) => {
    const stop = watch.watch({
      isSilent: () => {
        stop();
        resolve(hasRead);
        return false;
      },
      onSilence: () => {},
    });
  });
  const { createServer, connect } = await import("node:net");
  const server = createServer((socket) => socket.end("data"));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as { port: number };
  const client = connect(port, "127.0.0.1");
  client.once("data", () => {
    hasRead = true;
  });
  await new Promise((done) => client.once("connect", done));
  const until = performance.now() + 400;
  while (performance.now() < until);
  assert.equal(await judged, true);
  server.close();
});
