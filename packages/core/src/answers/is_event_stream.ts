type Head = {
  contentType: string | undefined;
  contentEncoding: string | undefined;
  /** Whether an answer that names no type is taken for an event stream. */
  isExpected: boolean;
};

const EVENT_STREAM_TYPE = "text/event-stream";
const NO_ENCODING = "identity";

/**
 * Whether an answer's bytes are server-sent events. Those of an encoded body
 * are not, whatever its type.
 */
export function isEventStream(
  { contentType, contentEncoding = NO_ENCODING, isExpected }: Head,
): boolean {
  if (contentEncoding.trim().toLowerCase() !== NO_ENCODING) return false;
  if (contentType === undefined) return isExpected;
  const [mediaType] = contentType.split(";");
  return mediaType!.trim().toLowerCase() === EVENT_STREAM_TYPE;
}
