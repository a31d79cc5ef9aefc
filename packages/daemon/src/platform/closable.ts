/** Something that was opened and has to be closed. */
export interface Closable {
  close(): void;
}
