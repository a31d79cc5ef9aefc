const BODY = "whole";

/** Heads of whole answers, each with its body, in the framings that there are. */
export const CUT_HEADS: Record<string, { head: string; body: string }> = {
  "a length": {
    head: `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`,
    body: BODY,
  },
  "chunks": {
    head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    body: `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  },
  "neither": { head: "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", body: BODY },
  "an interim answer": {
    head:
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`,
    body: BODY,
  },
};
