import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { ConfigurationRecord } from "./configuration_record.ts";
import { spoilDocument } from "./spoil_document.ts";

const CALL_TIMEOUT_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 60;
const READ_INTERVAL_MILLISECONDS = 60;
const MAX_IN_PROGRESS = 8;
const MAX_STEP = 3;
const OLD_SHARE = 0.1;
const INVALID_SHARE = 0.15;
const RACED_SHARE = 0.2;

type Options = {
  /** Where control hosts may be called; the list may change. */
  controlUrls: string[];
  buildDocument: (version: number, operator: number) => string;
  record: ConfigurationRecord;
  random: () => number;
};

/**
 * Two operators that send one configuration after the other, each again until
 * it has a clear answer, and read it back all the time.
 */
export class ConfigurationOperator {
  #options: Options;
  #version: number;
  #isStopped = false;
  #inProgress = 0;
  #waiting: ((at: number) => void)[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.#version = Math.max(...options.record.documents.keys());
  }

  /** The newest version that was sent. */
  get version(): number {
    return this.#version;
  }

  /** The newest version that was acknowledged earlier than `at`. */
  newestAcknowledged(at = performance.now()): number {
    return Math.max(
      0,
      ...this.#options.record.acknowledgements
        .filter((acknowledged) => acknowledged.at < at)
        .map(({ version }) => version),
    );
  }

  /** Resolves at the next acknowledgement of a version that is the newest. */
  nextAcknowledgement(): Promise<number> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  stop(): void {
    this.#isStopped = true;
  }

  async sendChanges(intervalMilliseconds: number): Promise<void> {
    const { random, buildDocument } = this.#options;
    const sent: Promise<void>[] = [];
    while (!this.#isStopped) {
      await sleep(intervalMilliseconds * (0.5 + random()));
      if (this.#inProgress >= MAX_IN_PROGRESS) continue;
      this.#version += 1 + Math.floor(random() * MAX_STEP);
      const version = this.#version;
      const document = buildDocument(version, 0);
      if (random() < INVALID_SHARE) {
        sent.push(this.#sendInvalid(version, spoilDocument(document, random)));
        continue;
      }
      sent.push(this.#send(version, document));
      if (random() < RACED_SHARE) {
        sent.push(this.#send(version, buildDocument(version, 1)));
      }
      if (random() < OLD_SHARE) sent.push(this.#sendOld());
    }
    await Promise.all(sent);
  }

  async readBack(): Promise<void> {
    const { controlUrls, random, record } = this.#options;
    const reads: Promise<void>[] = [];
    while (!this.#isStopped) {
      await sleep(READ_INTERVAL_MILLISECONDS);
      const host = controlUrls[Math.floor(random() * controlUrls.length)]!;
      reads.push(this.#read(host).then((read) => void record.reads.push(read)));
    }
    await Promise.all(reads);
  }

  async #read(host: string) {
    const from = performance.now();
    const { status, text } = await call(host, "GET");
    const to = performance.now();
    return { host, from, to, document: status === 200 ? text : undefined };
  }

  /** Sends a change that was acknowledged, or one that was overtaken, again. */
  async #sendOld(): Promise<void> {
    const { record, random } = this.#options;
    const versions = [...record.documents.keys()];
    const version = versions[Math.floor(random() * versions.length)]!;
    await this.#send(version, record.documents.get(version)![0]!);
  }

  async #send(version: number, document: string): Promise<void> {
    const { record } = this.#options;
    const known = record.documents.get(version) ?? [];
    if (!known.includes(document)) {
      record.documents.set(version, [...known, document]);
    }
    const status = await this.#callUntilClear(document);
    if (status === 0) return;
    if (status !== 200) {
      record.wrongAnswers.push({ version, status, what: "the valid" });
      return;
    }
    const at = performance.now();
    const isNewest = version > this.newestAcknowledged();
    record.acknowledgements.push({ version, at });
    if (!isNewest) return;
    for (const resolve of this.#waiting.splice(0)) resolve(at);
  }

  async #sendInvalid(version: number, document: string): Promise<void> {
    const { record } = this.#options;
    record.invalidVersions.add(version);
    const status = await this.#callUntilClear(document);
    if (status !== 0 && status !== 400) {
      record.wrongAnswers.push({ version, status, what: "the invalid" });
    }
  }

  /** Returns the status, or 0 if the day ended before a clear answer. */
  async #callUntilClear(document: string): Promise<number> {
    const { controlUrls, random } = this.#options;
    this.#inProgress += 1;
    try {
      while (!this.#isStopped) {
        const host = controlUrls[Math.floor(random() * controlUrls.length)]!;
        const { status } = await call(host, "PUT", document);
        if (status !== 0 && status < 500) return status;
        await sleep(RETRY_MILLISECONDS);
      }
      return 0;
    } finally {
      this.#inProgress -= 1;
    }
  }
}

async function call(
  host: string,
  method: string,
  body?: string,
): Promise<{ status: number; text: string }> {
  try {
    const answer = await fetch(`${host}/config`, {
      method,
      ...(body !== undefined && { body }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    return { status: answer.status, text: await answer.text() };
  } catch {
    return { status: 0, text: "" };
  }
}
