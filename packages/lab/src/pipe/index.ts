/** The least that a relay in Node can be, to measure the product's against. */
export { startPipe, targetHeader } from "./pipe";
