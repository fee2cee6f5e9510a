package org.basilswitch.bench.proxy;

/** Proxy on a single event loop whose performance is measured. */
interface ProxyUnderTest {

    /** Returns the port on loopback that the proxy listens on. */
    int port();

    /** Returns the identifier of the event loop's thread. */
    long threadId();
}
