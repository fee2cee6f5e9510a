package org.basilswitch.bench.proxy;

import java.lang.management.ManagementFactory;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/** Measures the processor time of event loops. */
final class EventLoops {
    private EventLoops() {}

    /** Returns the identifier of the event loop's thread of a Vert.x instance with a single event loop. */
    static long threadId(Vertx vertx) {
        Promise<Long> id = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(turn -> id.complete(Thread.currentThread().threadId()));
        return id.future().await();
    }

    /** Returns the processor time that a thread has used, in nanoseconds. */
    static long cpuNanos(long threadId) {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
    }
}
