const BODY_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `10000\r\n${" ".repeat(65_536)}\r\n`;

/** What comes without end, by where it comes. */
export const FLOODS = {
  head: {
    first: "HTTP/1.1 200 OK\r\n",
    rest: `Filler: ${"x".repeat(999)}\r\n`,
  },
  "interim answers": { first: "", rest: "HTTP/1.1 102 Processing\r\n\r\n" },
  body: { first: BODY_HEAD, rest: CHUNK },
  failure: { first: BODY_HEAD.replace("200 OK", "500 No"), rest: CHUNK },
};
