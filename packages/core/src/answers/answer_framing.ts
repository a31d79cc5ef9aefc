/** What marks the end of an answer's body (RFC 9112, section 6.3). */
export type AnswerFraming = "no-body" | "length" | "chunks" | "connection";
