package org.basilswitch.configuration;

/** One record of the configuration, stored under its kind and name. */
public sealed interface ConfigurationRecord permits Team, TeamKey, Queue, Pool, Host, MaintenanceWave {

    /** Name, unique within the kind. */
    String name();

    /** The path segment of a record's kind in the store and in the administration interface. */
    static String kind(Class<? extends ConfigurationRecord> type) {
        if (type == Team.class) {
            return "teams";
        }
        if (type == TeamKey.class) {
            return "keys";
        }
        if (type == Queue.class) {
            return "queues";
        }
        if (type == Pool.class) {
            return "pools";
        }
        if (type == Host.class) {
            return "hosts";
        }
        return "waves";
    }
}
