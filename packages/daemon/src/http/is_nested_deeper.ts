/**
 * Whether JSON text opens more arrays and objects at once than `depth`. Reads no
 * further than the first that is too deep.
 */
export function isNestedDeeper(text: string, depth: number): boolean {
  let open = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const sign = text[index];
    if (isInString) {
      if (sign === "\\") index += 1;
      else if (sign === '"') isInString = false;
    } else if (sign === '"') isInString = true;
    else if (sign === "[" || sign === "{") {
      open += 1;
      if (open > depth) return true;
    } else if (sign === "]" || sign === "}") open -= 1;
  }
  return false;
}
