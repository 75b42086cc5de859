/** Types of the js-csp API that tasks use. The library is CommonJS and has a single default export. */
declare module "js-csp" {
    export type Channel<T> = { readonly __message: T; close(): void };
    type Instruction = { readonly __instruction: true };
    type Buffer = { readonly __buffer: true };
    const csp: {
        readonly buffers: { fixed(size: number): Buffer };
        chan<T>(buffer?: Buffer | number): Channel<T>;
        go(process: () => Generator<Instruction, void, never>): Channel<void>;
        take<T>(channel: Channel<T>): Instruction;
        offer<T>(channel: Channel<T>, value: T): boolean;
    };
    export default csp;
}
