/** Tasks that own their state and communicate by messages, like actors. */
export { makeValuePublisher, type ObservableValue, type ValuePublisher } from "./observableValue";
export { ask, type Handlers, type Mailbox, type Message, type Reply, startTask } from "./task";
