// What the scripts of the cases 4 to 6 share: the record, calls to control
// hosts, one request of a client, and a bounded run.

import { existsSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");
const MAX_RUN_MILLISECONDS = 110_000;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

export const hasTrouble = process.env.TROUBLE !== "0";

/** As a worker's or an operator's client, keeps its connections. */
const agent = new Agent({ keepAlive: true });

export const now = () => performance.now();

export function sleep(milliseconds) {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, milliseconds))
  );
}

/** Repeats `check` until it holds; rejects after `milliseconds`. */
export async function waitUntil(check, goal, milliseconds = 30_000) {
  const deadline = now() + milliseconds;
  while (!(await check())) {
    if (now() > deadline) throw new Error(`not in time: ${goal}`);
    await sleep(100);
  }
}

/** A project's stand-in, compiled by review/build-2.sh. */
export async function loadStandIn(name) {
  const path = join(ROOT, "acceptance", "dist", `${name}.js`);
  if (!existsSync(path)) throw new Error("run review/build-2.sh first");
  return await import(path);
}

/** Lines with seconds since the start, written to record.txt at the end. */
export class Recorder {
  #startedAt = now();
  #lines = [];
  #path;

  constructor(caseUrl) {
    this.#path = join(dirname(fileURLToPath(caseUrl)), "record.txt");
    this.add(`trouble=${hasTrouble ? 1 : 0}`);
  }

  add(text, at = now()) {
    this.#lines.push({ at, text });
  }

  /** As `add`, and prints the line. */
  tell(text) {
    this.add(text);
    console.log(this.#format({ at: now(), text }));
  }

  #format({ at, text }) {
    return `${((at - this.#startedAt) / 1_000).toFixed(3)} ${text}`;
  }

  write() {
    const lines = this.#lines.sort((left, right) => left.at - right.at);
    const text = lines.map((line) => this.#format(line)).join("\n");
    writeFileSync(this.#path, `${text}\n`);
  }
}

/**
 * One call to a control host; status 0 without an answer within a second.
 * `onStatus` is called as soon as the answer's status is read.
 */
export function call(base, method, path, body, onStatus = () => {}) {
  return new Promise((resolve) => {
    const outgoing = request(base + path, { method, agent }, (response) => {
      const { statusCode: status } = response;
      onStatus(status);
      const parts = [];
      response.on("data", (part) => parts.push(part));
      const text = new Promise((done) => {
        response.on("end", () => done(Buffer.concat(parts).toString()));
        response.on("error", () => done(""));
        response.on("close", () => done(""));
      });
      resolve({ status, text });
    });
    const timer = setTimeout(
      () => outgoing.destroy(),
      CALL_TIMEOUT_MILLISECONDS,
    );
    outgoing.on("error", () => resolve({ status: 0, text: "" }));
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Calls the control hosts in turn until one gives a clear answer. */
export async function callAny(bases, method, path, body) {
  let answer = { status: 0, text: "" };
  for (const base of bases) {
    answer = await call(base, method, path, body);
    if (answer.status !== 0 && answer.status !== 503) return answer;
  }
  return answer;
}

/** One attempt of a client; status 0 if its connection fails. */
export function sendRequest(base, path, { id, headers = {}, body }) {
  const sentAt = now();
  return new Promise((resolve) => {
    const outgoing = request(base + path, {
      method: "POST",
      headers: {
        Host: "desk.example",
        "Attempt-Id": id,
        "Deadline-Ms": "4000",
        Authorization: "Bearer key-1",
        ...headers,
      },
    }, (response) => {
      response.resume();
      const finish = (status) =>
        resolve({ id, sentAt, status, headers: response.headers });
      response.on("end", () => finish(response.statusCode));
      response.on("error", () => finish(0));
    });
    outgoing.on("error", () => resolve({ id, sentAt, status: 0, headers: {} }));
    outgoing.end(body);
  });
}

/**
 * Runs a case: exits with what `play` returns, or with 2 if it throws or takes
 * too long. `end` ends all processes.
 */
export async function runCase({ recorder, play, end }) {
  let hasEnded = false;
  const finish = async (code) => {
    if (hasEnded) return;
    hasEnded = true;
    await end().catch((error) => console.error(String(error)));
    recorder.add(`exit ${code}`);
    recorder.write();
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => finish(COULD_NOT_RUN));
  }
  setTimeout(() => finish(COULD_NOT_RUN), MAX_RUN_MILLISECONDS);
  try {
    await finish(await play());
  } catch (error) {
    recorder.tell(`could not run: ${error.stack ?? error}`);
    await finish(COULD_NOT_RUN);
  }
}
