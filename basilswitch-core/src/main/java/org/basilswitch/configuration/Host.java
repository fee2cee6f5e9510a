package org.basilswitch.configuration;

/**
 * A worker host running one backend server.
 *
 * @param name unique name
 * @param address IP address and port of the backend server, such as {@code 127.0.0.1:9001}
 * @param zone availability zone
 * @param rack rack within the availability zone
 * @param pool name of the pool that the host belongs to
 * @param state life cycle state of the host
 * @param slots maximum number of requests that the backend server runs concurrently
 * @param connections maximum number of connections to the backend server
 * @param processors number of processors
 * @param memoryBytes memory, in bytes
 * @param accelerators number of accelerators
 */
public record Host(
        String name,
        String address,
        String zone,
        String rack,
        String pool,
        HostState state,
        int slots,
        int connections,
        int processors,
        long memoryBytes,
        int accelerators)
        implements ConfigurationRecord {

    /** Returns a copy of this host in another state. */
    public Host withState(HostState next) {
        return new Host(
                name, address, zone, rack, pool, next, slots, connections, processors, memoryBytes, accelerators);
    }

    /** Returns a copy of this host in another pool. */
    public Host withPool(String next) {
        return new Host(
                name, address, zone, rack, next, state, slots, connections, processors, memoryBytes, accelerators);
    }
}
