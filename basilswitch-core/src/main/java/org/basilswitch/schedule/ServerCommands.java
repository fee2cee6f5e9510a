package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.ItemId;

/**
 * Client for commands to backend servers. Every command carries a fencing token of the scheduler leader, which is higher
 * for each incarnation of a server; a server rejects a token lower than the highest it has seen. Every stage completes
 * normally, on the event loop.
 */
public interface ServerCommands {

    /** Starts a run of a work item. */
    CompletionStage<CommandResult> start(BackendServer server, long fencingToken, StartCommand command);

    /** Stops a run; a start of this run that arrives later is rejected. */
    CompletionStage<CommandResult> stop(BackendServer server, long fencingToken, ItemId item, int run);

    /** Sets the speed of a run as a percentage of its full speed. */
    CompletionStage<CommandResult> setPace(BackendServer server, long fencingToken, ItemId item, int run, int percent);

    /** Extends the lease of all runs on a server, acknowledges ended runs, and returns running and ended runs. */
    CompletionStage<RenewalResult> renewLease(BackendServer server, long fencingToken, LeaseRenewal command);

    /**
     * Command to start a run.
     *
     * @param item work item
     * @param run number of the run
     * @param spec the job's specification, as submitted
     * @param leaseEndMs end of the lease on the server's clock, ms
     * @param checkpoint checkpoint to resume from; empty to start from the beginning
     * @param ticket ticket of the advice service, if the queue requires one
     */
    record StartCommand(
            ItemId item, int run, String spec, long leaseEndMs, String checkpoint, Optional<String> ticket) {}

    /**
     * Command to extend the lease of all runs on a server.
     *
     * @param leaseEndMs end of the lease on the server's clock, ms; empty to leave the lease as it is
     * @param acknowledgedEndNumber number of the last run end that the server may forget; 0 for none
     * @param maxWait maximum time that the server waits for a run to end before it answers
     */
    record LeaseRenewal(Optional<Long> leaseEndMs, long acknowledgedEndNumber, Duration maxWait) {}

    /** Result of a start, stop or pace command. */
    sealed interface CommandResult {}

    /** The command was carried out. */
    record Done() implements CommandResult {}

    /** The command was not carried out and never will be. */
    record Rejected(Reason reason) implements CommandResult {}

    /** The result is unknown: the command may have been carried out, or may be later. */
    record NoAnswer(String detail) implements CommandResult {}

    /** Reason why a command was not carried out. */
    enum Reason {
        /** The server has seen a higher fencing token. */
        FENCED,
        /** This run or a later run of the item has already been stopped or has ended on the server. */
        OLD_RUN,
        /** The lease had already expired when the command arrived. */
        LEASE_PASSED,
        /** The server does not have enough free capacity. */
        NO_ROOM,
        /** The ticket of the advice service is missing or has expired. */
        NO_TICKET,
        /** The server is unhealthy. */
        UNHEALTHY,
        /** Another incarnation of the server answers at this address. */
        OTHER_LIFETIME,
        /** No connection could be established, so nothing was sent. */
        UNREACHABLE,
        /** The server rejects the content of the command. */
        INVALID
    }

    /** Result of a lease renewal. */
    sealed interface RenewalResult {}

    /**
     * Report of the runs on a server.
     *
     * @param startedAtMs start of the answering incarnation, Unix milliseconds
     * @param clockMs the server's clock, ms
     * @param running runs in progress
     * @param ended run ends that are not acknowledged yet, oldest first
     * @param listsAllEnds whether {@code ended} is complete; otherwise later ends follow once these are acknowledged
     */
    record Report(long startedAtMs, long clockMs, List<RunStatus> running, List<RunEnd> ended, boolean listsAllEnds)
            implements RenewalResult {}

    /** The server rejected the renewal. */
    record RenewalRejected(Reason reason) implements RenewalResult {}

    /** The renewal was not answered. */
    record RenewalUnanswered(String detail) implements RenewalResult {}

    /**
     * Status of a run in progress.
     *
     * @param item work item
     * @param run number of the run
     * @param checkpoint latest checkpoint; empty for none
     * @param percent completed percentage of the work; 100 for a long-running work item that is up
     * @param load tail response time in ms for a serving work item, otherwise processor use in thousandths of a core
     */
    record RunStatus(ItemId item, int run, String checkpoint, int percent, long load) {}

    /**
     * End of a run.
     *
     * @param number number of the end within this server incarnation
     * @param item work item
     * @param run number of the run
     * @param kind how the run ended
     * @param checkpoint latest checkpoint; empty for none
     */
    record RunEnd(long number, ItemId item, int run, RunEndKind kind, String checkpoint) {}

    /** Ways in which a run can end. */
    enum RunEndKind {
        DONE,
        FAILED,
        STOPPED,
        /** The lease of the run expired. */
        LAPSED,
        /** Another member of the gang ended. */
        BROKEN,
        /** The other members of the gang did not start. */
        ALONE
    }
}
