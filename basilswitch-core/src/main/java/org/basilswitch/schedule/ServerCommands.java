package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.ItemId;

/**
 * Orders to backend servers. Every order carries the fencing number of the scheduler duty; a server does nothing for a
 * number lower than the highest it has seen. Every stage completes normally, on the event loop.
 */
public interface ServerCommands {

    /** Starts a run. */
    CompletionStage<CommandResult> start(BackendServer server, long fencingToken, StartCommand command);

    /** Stops a run, or bars it when it has not arrived yet. */
    CompletionStage<CommandResult> stop(BackendServer server, long fencingToken, ItemId item, int run);

    /** Sets the part of its speed at which a run works, percent. */
    CompletionStage<CommandResult> pace(BackendServer server, long fencingToken, ItemId item, int run, int percent);

    /** Extends the lease of all that runs on a server, forgets ends, and reports runs and ends. */
    CompletionStage<RenewalResult> renewLease(BackendServer server, long fencingToken, LeaseRenewal command);

    /**
     * A start.
     *
     * @param item work item
     * @param run number of the run
     * @param spec the job's text
     * @param leaseEndMs end of the lease on the server's clock, ms
     * @param checkpoint where to resume; empty to begin anew
     * @param ticket permission of the advice service, where the queue needs one
     */
    record StartCommand(
            ItemId item, int run, String spec, long leaseEndMs, String checkpoint, Optional<String> ticket) {}

    /**
     * An extension of the lease.
     *
     * @param leaseEndMs end of the lease on the server's clock, ms; empty while the clock is not known
     * @param acknowledgedEnd number of the last end that is stored
     * @param longestWait time to wait for an end
     */
    record LeaseRenewal(Optional<Long> leaseEndMs, long acknowledgedEndNumber, Duration maxWait) {}

    /** What became of a start, stop or pace. */
    sealed interface CommandResult {}

    /** Carried out. */
    record Done() implements CommandResult {}

    /** Not carried out, and never will be. */
    record Rejected(Reason reason) implements CommandResult {}

    /** May have been carried out, or may be later. */
    record NoAnswer(String detail) implements CommandResult {}

    /** Why an order was not carried out. */
    enum Reason {
        /** The server has seen a higher fencing number. */
        FENCED,
        /** This run or a later one has been stopped or has ended there. */
        OLD_RUN,
        /** The lease end had passed. */
        LEASE_PASSED,
        /** It does not fit. */
        NO_ROOM,
        /** The advice service's permission is missing or has passed. */
        NO_TICKET,
        /** The server is unhealthy. */
        UNHEALTHY,
        /** Another lifetime answers at this address. */
        OTHER_LIFETIME,
        /** No connection could be made, so that nothing was sent. */
        UNREACHABLE,
        /** The server does not accept the order's content. */
        INVALID
    }

    /** Answer to a hold. */
    sealed interface RenewalResult {}

    /**
     * What runs and has ended.
     *
     * @param bornMs start of the answering lifetime, Unix milliseconds
     * @param clockMs the server's clock, ms
     * @param running runs at work
     * @param ended ends that are not acknowledged yet, the oldest first
     */
    record Report(long startedAtMs, long clockMs, List<RunStatus> running, List<RunEnd> ended)
            implements RenewalResult {}

    /** The server did nothing, for a reason. */
    record RenewalRejected(Reason reason) implements RenewalResult {}

    /** No answer came. */
    record RenewalUnanswered(String detail) implements RenewalResult {}

    /**
     * One run at work.
     *
     * @param item work item
     * @param run number of the run
     * @param checkpoint latest checkpoint; empty for none
     * @param percent part of the work done; 100 while a long-running work item is at work
     * @param load response time tail in ms for a serving work item, otherwise processor use in thousandths of a core
     */
    record RunStatus(ItemId item, int run, String checkpoint, int percent, long load) {}

    /**
     * One end.
     *
     * @param number number of the end in this lifetime
     * @param item work item
     * @param run number of the run
     * @param kind how it ended
     * @param checkpoint latest checkpoint; empty for none
     */
    record RunEnd(long number, ItemId item, int run, RunEndKind kind, String checkpoint) {}

    /** How a run ended. */
    enum RunEndKind {
        DONE,
        FAILED,
        STOPPED,
        /** Its lease ended. */
        LAPSED,
        /** Another member of its gang ended. */
        BROKEN,
        /** The other members of its gang did not come. */
        ALONE
    }
}
