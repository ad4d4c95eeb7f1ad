/** An unbounded queue between tasks, read as an async iterable by one reader. */
export class MessageQueue<Message> implements AsyncIterable<Message> {
    private readonly messages: Message[] = [];
    private wake: (() => void) | undefined;
    private isClosed = false;

    private constructor() {}

    /** Creates an empty queue. */
    static create<Message>(): MessageQueue<Message> {
        return new MessageQueue();
    }

    /** Adds a message; ignored after the queue was closed. */
    push(message: Message): void {
        if (!this.isClosed) {
            this.messages.push(message);
            this.wake?.();
        }
    }

    /** Ends the iteration once everything pushed before has been read. */
    close(): void {
        this.isClosed = true;
        this.wake?.();
    }

    /** Yields the messages in the order they were pushed. */
    async *[Symbol.asyncIterator](): AsyncGenerator<Message, void, undefined> {
        for (;;) {
            const message = this.messages.shift();
            if (message !== undefined) {
                yield message;
            }
            else if (this.isClosed) {
                return;
            }
            else {
                await new Promise<void>(resolve => {
                    this.wake = resolve;
                });
                this.wake = undefined;
            }
        }
    }
}
