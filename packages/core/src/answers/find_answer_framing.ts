import type { AnswerFraming } from "./answer_framing.ts";

type Head = {
  method: string;
  status: number;
  transferEncoding: string | undefined;
  contentLength: string | undefined;
};

const BODYLESS_STATUSES = [204, 304];
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Finds out from an answer's head what will mark the end of its body. */
export function findAnswerFraming(head: Head): AnswerFraming {
  const { method, status, transferEncoding, contentLength } = head;
  if (method === "HEAD" || BODYLESS_STATUSES.includes(status)) return "no-body";
  if (transferEncoding !== undefined) {
    return CHUNKED_LAST.test(transferEncoding) ? "chunks" : "connection";
  }
  return contentLength === undefined ? "connection" : "length";
}
