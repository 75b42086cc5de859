/** Events in virtual time. Those at the same time run in the order in which they were added. */
type Event = { readonly atMs: number; readonly order: number; readonly run: () => void };

/** A binary heap of events by time. */
export class Schedule {
    private readonly heap: Event[] = [];
    private nextOrder = 0;

    add(atMs: number, run: () => void): void {
        const { heap } = this;
        let index = heap.push({ atMs, order: this.nextOrder++, run }) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index]!, heap[parent]!)) {
                return;
            }
            [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
            index = parent;
        }
    }

    nextAtMs(): number {
        return this.heap[0]?.atMs ?? Infinity;
    }

    take(): Event {
        const { heap } = this;
        const first = heap[0]!;
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            this.sink();
        }
        return first;
    }

    private sink(): void {
        const { heap } = this;
        for (let index = 0;;) {
            const [left, right] = [2 * index + 1, 2 * index + 2];
            let least = index;
            for (const child of [left, right]) {
                if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
                    least = child;
                }
            }
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least]!, heap[index]!];
            index = least;
        }
    }
}

function isBefore(a: Event, b: Event): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
