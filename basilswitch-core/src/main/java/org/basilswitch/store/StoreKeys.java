package org.basilswitch.store;

/** The key layout in the platform's store; each site has its own prefix. */
public record StoreKeys(String site) {

    /** Prefix of all configuration records. */
    public String configuration() {
        return "/basilswitch/" + site + "/config/";
    }

    /** Key of a configuration record, such as {@code teams} and a team's name. */
    public String configuration(String kind, String name) {
        return configuration() + kind + "/" + name;
    }

    /** Key of the record that lists the entry hosts; among the configuration, so that one watch follows both. */
    public String members() {
        return configuration() + "members";
    }

    /** Key of a team's allotments. */
    public String allotment(String team) {
        return "/basilswitch/" + site + "/allotments/" + team;
    }

    /** Prefix of all allotments. */
    public String allotments() {
        return "/basilswitch/" + site + "/allotments/";
    }

    /** Key of a claim bucket's fencing record. */
    public String claimFence(int bucket) {
        return "/basilswitch/" + site + "/claims/" + bucket + "/fence";
    }

    /** Prefix of a claim bucket's committed groups. */
    public String claimGroups(int bucket) {
        return "/basilswitch/" + site + "/claims/" + bucket + "/groups/";
    }

    /** Key of a duty's holder, such as a pool's controller. */
    public String leadership(String duty) {
        return "/basilswitch/" + site + "/duties/" + duty;
    }

    /** Key of an administration operation's result. */
    public String operation(String operationId) {
        return "/basilswitch/" + site + "/operations/" + operationId;
    }

    /** Prefix of the audit records. */
    public String audit() {
        return "/basilswitch/" + site + "/audit/";
    }

    /** Key of a pool's guard, which every change of a host in the pool rewrites. */
    public String poolGuard(String pool) {
        return "/basilswitch/" + site + "/fleet/guards/" + pool;
    }

    /** Key of a team's guard, which every change of the team or its keys rewrites. */
    public String teamGuard(String team) {
        return "/basilswitch/" + site + "/teams/guards/" + team;
    }

    /** Key that says which key record a secret's hash belongs to, or that it was withdrawn. */
    public String keyHash(String sha256Hex) {
        return "/basilswitch/" + site + "/keyhashes/" + sha256Hex;
    }

    /** Key that marks a host as lent by the spare pool. */
    public String loan(String host) {
        return loans() + host;
    }

    /** Prefix of the marks of lent hosts. */
    public String loans() {
        return "/basilswitch/" + site + "/fleet/loans/";
    }

    /** Key of a host's progress in maintenance. */
    public String hostProgress(String host) {
        return "/basilswitch/" + site + "/fleet/progress/" + host;
    }

    /** Prefix of all hosts' progress in maintenance. */
    public String hostProgress() {
        return "/basilswitch/" + site + "/fleet/progress/";
    }

    /** Prefix of what all entry hosts follow of the jobs. */
    public String jobs() {
        return "/basilswitch/" + site + "/jobs/";
    }

    /** Prefix of the accepted jobs. */
    public String jobsAccepted() {
        return jobs() + "accepted/";
    }

    /** Key of an accepted job. */
    public String jobAccepted(String id) {
        return jobsAccepted() + id;
    }

    /** Prefix of the cancellations. */
    public String jobsCancelled() {
        return jobs() + "cancelled/";
    }

    /** Key of a job's cancellation. */
    public String jobCancelled(String id) {
        return jobsCancelled() + id;
    }

    /** Prefix of the final states. */
    public String jobsEnded() {
        return jobs() + "ended/";
    }

    /** Key of a job's final state. */
    public String jobEnded(String id) {
        return jobsEnded() + id;
    }

    /** Key of the scheduler duty's holder; among the jobs, so that one watch follows both. */
    public String schedulerLeadership() {
        return jobs() + "duty";
    }

    /** Prefix of the progress of jobs, which only the scheduler reads. */
    public String jobsProgress() {
        return "/basilswitch/" + site + "/progress/";
    }

    /** Key of a job's progress. */
    public String jobProgress(String id) {
        return jobsProgress() + id;
    }

    /** Key of a maintenance wave's progress. */
    public String waveProgress(long wave) {
        return "/basilswitch/" + site + "/waves/" + wave;
    }
}
