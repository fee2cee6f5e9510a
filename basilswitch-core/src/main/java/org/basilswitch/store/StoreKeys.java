package org.basilswitch.store;

/** The layout of keys in the platform's store; each site has its own prefix. */
public record StoreKeys(String site) {

    /** Returns the prefix of all configuration records and the members record. */
    public String configuration() {
        return "/basilswitch/" + site + "/config/";
    }

    /** Returns the key of a configuration record by its kind, such as {@code teams}, and its name. */
    public String configuration(String kind, String name) {
        return configuration() + kind + "/" + name;
    }

    /** Returns the key of the members record; it has the configuration's prefix, so that one watch covers both. */
    public String members() {
        return configuration() + "members";
    }

    /** Returns the key of a team's allotments. */
    public String allotment(String team) {
        return "/basilswitch/" + site + "/allotments/" + team;
    }

    /** Returns the prefix of all allotments. */
    public String allotments() {
        return "/basilswitch/" + site + "/allotments/";
    }

    /** Returns the key of a claim bucket's fencing record. */
    public String claimFence(int bucket) {
        return "/basilswitch/" + site + "/claims/" + bucket + "/fence";
    }

    /** Returns the prefix of a claim bucket's committed groups of claims. */
    public String claimGroups(int bucket) {
        return "/basilswitch/" + site + "/claims/" + bucket + "/groups/";
    }

    /** Returns the key that holds the leader of a duty, such as control of a pool. */
    public String leadership(String duty) {
        return "/basilswitch/" + site + "/duties/" + duty;
    }

    /** Returns the key of an administration operation's result. */
    public String operation(String operationId) {
        return "/basilswitch/" + site + "/operations/" + operationId;
    }

    /** Returns the prefix of the audit records. */
    public String audit() {
        return "/basilswitch/" + site + "/audit/";
    }

    /** Returns the key of a pool's guard, which every change of the pool, its hosts or queues compares and rewrites. */
    public String poolGuard(String pool) {
        return "/basilswitch/" + site + "/fleet/guards/" + pool;
    }

    /** Returns the key of a team's guard, which every change of the team or its keys compares and rewrites. */
    public String teamGuard(String team) {
        return "/basilswitch/" + site + "/teams/guards/" + team;
    }

    /** Returns the key that records which team key a secret's hash belongs to, or that the hash was withdrawn. */
    public String keyHash(String sha256Hex) {
        return "/basilswitch/" + site + "/keyhashes/" + sha256Hex;
    }

    /** Returns the key that marks a host as lent by the spare pool. */
    public String loan(String host) {
        return loans() + host;
    }

    /** Returns the prefix of the marks of lent hosts. */
    public String loans() {
        return "/basilswitch/" + site + "/fleet/loans/";
    }

    /** Returns the key of a host's progress in maintenance. */
    public String hostProgress(String host) {
        return "/basilswitch/" + site + "/fleet/progress/" + host;
    }

    /** Returns the prefix of all hosts' progress in maintenance. */
    public String hostProgress() {
        return "/basilswitch/" + site + "/fleet/progress/";
    }

    /** Returns the prefix of the job records that every entry host watches. */
    public String jobs() {
        return "/basilswitch/" + site + "/jobs/";
    }

    /** Returns the prefix of the accepted jobs. */
    public String jobsAccepted() {
        return jobs() + "accepted/";
    }

    /** Returns the key of an accepted job. */
    public String jobAccepted(String id) {
        return jobsAccepted() + id;
    }

    /** Returns the prefix of the jobs' cancellations. */
    public String jobsCancelled() {
        return jobs() + "cancelled/";
    }

    /** Returns the key of a job's cancellation. */
    public String jobCancelled(String id) {
        return jobsCancelled() + id;
    }

    /** Returns the prefix of the jobs' final states. */
    public String jobsEnded() {
        return jobs() + "ended/";
    }

    /** Returns the key of a job's final state. */
    public String jobEnded(String id) {
        return jobsEnded() + id;
    }

    /** Returns the key that holds the scheduler's leader; it has the jobs' prefix, so that one watch covers both. */
    public String schedulerLeadership() {
        return jobs() + "duty";
    }

    /** Returns the prefix of the jobs' progress, which only the scheduler reads. */
    public String jobsProgress() {
        return "/basilswitch/" + site + "/progress/";
    }

    /** Returns the key of a job's progress. */
    public String jobProgress(String id) {
        return jobsProgress() + id;
    }

    /** Returns the key of a maintenance wave's progress. */
    public String waveProgress(long wave) {
        return "/basilswitch/" + site + "/waves/" + wave;
    }
}
