const BACKSLASH = 92;
const BRACKET_BIT = 0x20;
/** `[` and `{` without the bit in which they differ. */
const OPENING = 0x5b;
/** `]` and `}` without it. */
const CLOSING = 0x5d;
const QUOTE = 34;

/**
 * Whether JSON text opens more arrays and objects at once than `depth`. Reads no
 * further than the first that is too deep.
 */
export function isNestedDeeper(text: string, depth: number): boolean {
  let open = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) {
      index = findStringEnd(text, index);
      continue;
    }
    const bracket = code & ~BRACKET_BIT;
    if (bracket === OPENING) {
      open += 1;
      if (open > depth) return true;
    } else if (bracket === CLOSING) open -= 1;
  }
  return false;
}

/** Index of the quote that ends a string; the text's length without one. */
function findStringEnd(text: string, start: number): number {
  let end = text.indexOf('"', start + 1);
  while (end >= 0 && isEscaped(text, end)) end = text.indexOf('"', end + 1);
  return end < 0 ? text.length : end;
}

function isEscaped(text: string, index: number): boolean {
  let backslashes = 0;
  while (text.charCodeAt(index - 1 - backslashes) === BACKSLASH) {
    backslashes += 1;
  }
  return backslashes % 2 === 1;
}
