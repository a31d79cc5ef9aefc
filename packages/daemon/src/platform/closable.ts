/** An open resource that has to be closed. */
export interface Closable {
  close(): void;
}
