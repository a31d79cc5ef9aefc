// Node's own Headers loads its whole fetch client at the first use, a tenth of
// what a start costs; the bundle calls others without it.
export { Headers } from "headers-polyfill";
