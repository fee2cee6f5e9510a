package org.basilswitch.bench.faults;

import java.time.Duration;

import org.basilswitch.dispatch.Attempt;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage;

/** One incarnation of an entry host's process, including its connections to workers. */
final class EntryProcess {
    private final FaultSite site;
    private final int slot;
    private final MemberId id;
    private final ProcessTime time;
    private EntryHost host;
    private long pauseCount;
    private boolean leaving;

    EntryProcess(FaultSite site, int slot, MemberId id, ProcessTime time) {
        this.site = site;
        this.slot = slot;
        this.id = id;
        this.time = time;
    }

    void start(EntryHost created) {
        host = created;
        time.deliver(host::start);
    }

    EntryHost host() {
        return host;
    }

    int slot() {
        return slot;
    }

    MemberId id() {
        return id;
    }

    ProcessTime time() {
        return time;
    }

    long pauseCount() {
        return pauseCount;
    }

    boolean leaving() {
        return leaving;
    }

    void pause() {
        pauseCount++;
        time.pause();
    }

    void receive(MemberId from, PeerMessage message) {
        time.deliver(() -> host.receive(from, message));
    }

    /** Shuts the entry host down gracefully, checks that no open request was cut off, then runs {@code then}. */
    void leave(Runnable then) {
        leaving = true;
        time.deliver(() -> host.leave().thenAccept(left -> {
            int open = host.broker().openRequests();
            site.guarantees()
                    .check(
                            open == 0,
                            ServiceGuarantees.Guarantee.SHUTDOWN_CUTS_NOTHING,
                            this + " shut down, open requests: " + open);
            then.run();
        }));
    }

    /** Sends an attempt to its worker and delivers the result to the attempt. */
    void sendAttempt(SimulatedCallers.Call call, Attempt attempt) {
        SimulatedWorkers.Worker worker = site.workers().find(attempt.server().name());
        if (!worker.reachable()) {
            time.schedule(site.delay(), () -> attempt.fail(Attempt.Failure.CONNECT_REFUSED));
            return;
        }
        time.schedule(site.delay(), () -> send(call, attempt, worker));
    }

    private void send(SimulatedCallers.Call call, Attempt attempt, SimulatedWorkers.Worker worker) {
        if (!attempt.tryBeginSend()) {
            return;
        }
        site.guarantees().checkSend(this, call, worker);
        Duration now = Duration.ofNanos(site.time().monotonicNanos());
        Duration startBy = now.plus(time.toTrueTime(host.servingLease().remaining()));
        Duration endBy = now.plus(time.toTrueTime(attempt.timeout()));
        String team = attempt.team();
        time.schedule(attempt.timeout(), () -> attempt.fail(Attempt.Failure.ANSWER_TIMEOUT));
        site.time()
                .schedule(
                        site.delay(),
                        () -> worker.receive(call, team, startBy, endBy, result -> answer(call, attempt, result)));
    }

    private void answer(SimulatedCallers.Call call, Attempt attempt, SimulatedWorkers.Result result) {
        site.time()
                .schedule(
                        site.delay(),
                        () -> time.deliver(() -> {
                            switch (result) {
                                case ANSWERED -> deliverAnswer(call, attempt);
                                case BUSY -> attempt.fail(Attempt.Failure.SERVER_BUSY);
                                case RESET -> attempt.fail(Attempt.Failure.RESET);
                            }
                        }));
    }

    private void deliverAnswer(SimulatedCallers.Call call, Attempt attempt) {
        int before = host.broker().openRequests();
        attempt.complete(200);
        // The broker drops an answer that arrives after the attempt has ended; the caller does not get it.
        if (host.broker().openRequests() < before) {
            call.answered(call);
        }
    }

    @Override
    public String toString() {
        return "host" + slot + "(" + id + ")";
    }
}
