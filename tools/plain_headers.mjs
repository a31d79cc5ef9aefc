// Node's own Headers loads its whole fetch client at the first use, which no
// process here needs; the bundle calls these instead.
export { Headers } from "headers-polyfill";
