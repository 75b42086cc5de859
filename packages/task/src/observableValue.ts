/** An observable value that one task publishes and others read or subscribe to. Values are immutable. */
export type ObservableValue<T> = {
    readonly latest: () => T;
    /** Calls `listener` with each value published after this call. */
    readonly subscribe: (listener: (value: T) => void) => void;
};

/** The observable value as its publisher holds it. */
export type ValuePublisher<T> = ObservableValue<T> & { readonly publish: (value: T) => void };

export function makeValuePublisher<T>(initial: T): ValuePublisher<T> {
    let value = initial;
    const listeners = new Set<(value: T) => void>();
    return {
        latest: () => value,
        subscribe: listener => {
            listeners.add(listener);
        },
        publish: next => {
            value = next;
            listeners.forEach(listener => listener(next));
        },
    };
}
