/** Tasks that own their state and communicate by messages, like actors. */
export { type Feed, makeSource, type Source } from "./feed";
export { ask, type Handlers, type Mailbox, type Message, type Reply, startTask } from "./task";
