package org.basilswitch.configuration;

/** A record of the configuration, stored under its kind and name. */
public sealed interface ConfigurationRecord permits Team, TeamKey, Queue, Pool, Host, MaintenanceWave {

    /** Returns the record's name, unique within its kind. */
    String name();

    /** Returns a record type's kind: the path segment used in store keys and in the administration API. */
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
