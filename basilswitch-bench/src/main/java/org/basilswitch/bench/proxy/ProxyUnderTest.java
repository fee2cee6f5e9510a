package org.basilswitch.bench.proxy;

/** A proxy on one event loop. */
interface ProxyUnderTest {

    /** The port that it listens on. */
    int port();

    /** Identifier of its event loop's thread. */
    long threadId();
}
