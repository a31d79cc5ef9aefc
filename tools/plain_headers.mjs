// Replaces the global Headers in the bundle. Node's own Headers loads the whole
// fetch client on first use, which none of the bundled processes needs.
export { Headers } from "headers-polyfill";
