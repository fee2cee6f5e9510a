package org.basilswitch.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Resources;

/** Free capacity of one backend server, now and after the expected ends of its runs. */
public final class ServerOutlook {
    private final Resources free;
    private final List<Change> changes = new ArrayList<>();
    /** Amount of the last search, and its result until the next change; those who wait mostly ask for the same. */
    private Optional<Resources> searched = Optional.empty();

    private double foundInMs;

    /** A change of the free capacity at a time from now; an amount that is taken is negative. */
    private record Change(double inMs, Resources amount) {}

    private ServerOutlook(Resources free) {
        this.free = free;
    }

    /** Creates the outlook of a server whose runs never end. */
    public static ServerOutlook of(Resources free) {
        return new ServerOutlook(free);
    }

    /** Adds a run that ends after a time; infinite for long-running work. */
    public void addRun(Resources amount, double endsInMs) {
        if (Double.isFinite(endsInMs)) {
            change(endsInMs, amount);
        }
    }

    private void change(double inMs, Resources amount) {
        changes.add(new Change(inMs, amount));
        changes.sort(Comparator.comparingDouble(Change::inMs));
        searched = Optional.empty();
    }

    /** Reserves an amount for a run that will start and end after these times. */
    public void reserve(Resources amount, double startsInMs, double durationMs) {
        change(startsInMs, Resources.NONE.minus(amount));
        change(startsInMs + durationMs, amount);
    }

    /** Returns the time to the first moment at which an amount is free; infinite if there is none. */
    public double freeInMs(Resources amount) {
        if (searched.filter(amount::equals).isEmpty()) {
            foundInMs = search(amount);
            searched = Optional.of(amount);
        }
        return foundInMs;
    }

    private double search(Resources amount) {
        Resources available = free;
        if (changes.isEmpty() || changes.get(0).inMs > 0) {
            if (amount.fitsInto(available)) {
                return 0;
            }
        }
        for (int i = 0; i < changes.size(); i++) {
            available = available.plus(changes.get(i).amount);
            boolean lastOfMoment = i + 1 == changes.size() || changes.get(i + 1).inMs > changes.get(i).inMs;
            if (lastOfMoment && amount.fitsInto(available)) {
                return changes.get(i).inMs;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns how many times an amount will be free after a time, at most the given number. */
    int countFree(Resources amount, double inMs, int limit) {
        Resources available = free;
        for (Change change : changes) {
            if (change.inMs <= inMs) {
                available = available.plus(change.amount);
            }
        }
        int count = 0;
        while (count < limit && amount.times(count + 1).fitsInto(available)) {
            count++;
        }
        return count;
    }

    /** Adds the times at which capacity becomes free. */
    void addFreeTimes(List<Double> timesMs) {
        changes.forEach(change -> timesMs.add(change.inMs));
    }
}
