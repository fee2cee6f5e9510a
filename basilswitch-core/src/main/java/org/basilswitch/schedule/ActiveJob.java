package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.basilswitch.job.CriticalPath;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.StepSpec;
import org.basilswitch.store.Transaction;

/** A job that has not ended, with its work items and the state of its progress record. */
final class ActiveJob {
    private final JobSubmission submission;
    private final long acceptedRevision;
    private final Map<Integer, List<List<WorkItem>>> occurrences = new TreeMap<>();
    private final List<WorkItem> items = new ArrayList<>();
    /** First occurrence of which it is not known that it has been created; those before it have been. */
    private int firstUncheckedOccurrence;

    private int doneItems;
    private int begunItems;
    private boolean restored;
    private long changeCount;
    private long firstStartMs;
    private int starts;
    private int lostRuns;
    private int nearRuns;
    private int remoteRuns;
    private boolean exceedsShare;
    private boolean cancelled;
    private boolean failed;
    private boolean failureDeferred;
    private boolean ended;
    private long progressRevision;
    private long sequence;
    private boolean dirty;
    private boolean writing;
    private List<Runnable> commitActions = new ArrayList<>();

    /**
     * Creates a job without progress.
     *
     * @param acceptedRevision revision of the job's accepted record
     */
    ActiveJob(JobSubmission submission, long acceptedRevision) {
        this.submission = submission;
        this.acceptedRevision = acceptedRevision;
    }

    JobSubmission submission() {
        return submission;
    }

    String id() {
        return submission.id();
    }

    /**
     * Creates the work items of all occurrences that are due. A progress record holds only occurrences that have started,
     * so that earlier ones may be missing after {@link #restore}.
     */
    void createDueOccurrences(long nowMs) {
        while (firstUncheckedOccurrence < submission.occurrences()) {
            if (!occurrences.containsKey(firstUncheckedOccurrence) && !isDue(firstUncheckedOccurrence, nowMs)) {
                return;
            }
            getOrCreateOccurrence(firstUncheckedOccurrence);
            firstUncheckedOccurrence++;
        }
    }

    private boolean isDue(int occurrence, long nowMs) {
        return submission.recurrence() == null || submission.recurrence().dueMs(occurrence) <= nowMs;
    }

    /** Returns the work items of an occurrence by step, and creates them if necessary. */
    private List<List<WorkItem>> getOrCreateOccurrence(int occurrence) {
        return occurrences.computeIfAbsent(occurrence, k -> {
            List<List<WorkItem>> steps = IntStream.range(0, submission.steps().size())
                    .mapToObj(step -> items(k, step))
                    .toList();
            steps.forEach(items::addAll);
            changeCount++;
            return steps;
        });
    }

    /** Called by a work item when its run is placed or ends. */
    void onItemChanged(boolean newlyDone) {
        changeCount++;
        doneItems += newlyDone ? 1 : 0;
    }

    /** Called by a work item when it is first known that a backend server has begun it. */
    void onItemBegun() {
        begunItems++;
    }

    /**
     * Returns the number of changes to the work items; a cached value derived from the items is out of date when it
     * differs.
     */
    long changeCount() {
        return changeCount;
    }

    private List<WorkItem> items(int occurrence, int step) {
        StepSpec spec = submission.steps().get(step);
        return IntStream.range(0, spec.count())
                .mapToObj(index -> new WorkItem(new ItemId(id(), occurrence, step, index), this, spec))
                .toList();
    }

    /** Restores the work items from the progress record of an earlier leader. */
    void restore(ProgressRecord record, long revision) {
        progressRevision = revision;
        restored = true;
        for (ProgressRecord.ItemRow row : record.items()) {
            List<List<WorkItem>> steps = getOrCreateOccurrence(row.occurrence());
            if (row.step() < steps.size() && row.index() < steps.get(row.step()).size()) {
                steps.get(row.step()).get(row.index()).restore(row);
            }
        }
    }

    /** Calls an action with the work items of each step whose predecessor steps are done. */
    void forEachReadyStep(Consumer<List<WorkItem>> action) {
        for (List<List<WorkItem>> steps : occurrences.values()) {
            for (List<WorkItem> step : steps) {
                if (!step.isEmpty() && isReady(steps, step)) {
                    action.accept(step);
                }
            }
        }
    }

    private static boolean isReady(List<List<WorkItem>> steps, List<WorkItem> step) {
        for (int earlier : step.get(0).spec().after()) {
            if (!isDone(steps.get(earlier)) && !wasTakenForDone(steps.get(earlier), step)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether an earlier version took a long-running step for done and started a step after it. */
    private static boolean wasTakenForDone(List<WorkItem> earlier, List<WorkItem> step) {
        return earlier.get(0).spec().longRunning() && step.stream().anyMatch(WorkItem::isStarted);
    }

    /** Returns all work items of the occurrences created so far. */
    List<WorkItem> items() {
        return Collections.unmodifiableList(items);
    }

    /** Returns whether any work item has a current run. */
    boolean hasRuns() {
        for (WorkItem item : items) {
            if (item.run().isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Calls an action with the current runs and copies of all work items. */
    void forEachRun(Consumer<Run> action) {
        List<Run> runs = new ArrayList<>();
        items.forEach(item -> {
            item.run().ifPresent(runs::add);
            runs.addAll(item.copies());
        });
        runs.forEach(action);
    }

    /** Returns all work items of the step that an item belongs to. */
    List<WorkItem> stepOf(ItemId item) {
        return occurrences.get(item.occurrence()).get(item.step());
    }

    /** Returns the work item with this identifier, or null if there is none. */
    WorkItem item(ItemId item) {
        List<List<WorkItem>> steps = occurrences.get(item.occurrence());
        if (steps == null || item.step() < 0 || item.step() >= steps.size()) {
            return null;
        }
        List<WorkItem> step = steps.get(item.step());
        return item.index() < 0 || item.index() >= step.size() ? null : step.get(item.index());
    }

    /** Returns whether a backend server has begun any work item; a start that was sent may be rejected. */
    boolean hasBegun() {
        return begunItems > 0 || restored && items.stream().anyMatch(WorkItem::mayHaveBegun);
    }

    /** Returns whether all occurrences have been created and all their work items are done. */
    boolean isComplete() {
        return occurrences.size() == submission.occurrences() && doneItems == items.size();
    }

    /**
     * Returns the duration of the critical path over the steps that are not done, in ms.
     *
     * @param stepMs expected duration of a step by its number, ms
     */
    double remainingCriticalPathMs(IntToDoubleFunction stepMs) {
        double longest = 0;
        for (List<List<WorkItem>> steps : occurrences.values()) {
            longest =
                    Math.max(longest, criticalPathMs(step -> isDone(steps.get(step)) ? 0 : stepMs.applyAsDouble(step)));
        }
        return occurrences.isEmpty() ? criticalPathMs(stepMs) : longest;
    }

    /** Returns the duration of the critical path over all steps, in ms. */
    double criticalPathMs(IntToDoubleFunction stepMs) {
        return CriticalPath.ofMs(submission.steps(), stepMs);
    }

    private static boolean isDone(List<WorkItem> step) {
        for (WorkItem item : step) {
            if (!item.isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of work items of a step that are waiting to be started for the first time or again. */
    long waitingItems(int step) {
        long waiting = 0;
        for (List<List<WorkItem>> steps : occurrences.values()) {
            for (WorkItem item : steps.get(step)) {
                waiting += item.isWaiting() ? 1 : 0;
            }
        }
        return waiting;
    }

    JobState state() {
        if (cancelled) {
            return JobState.CANCELLED;
        }
        if (failed) {
            return JobState.FAILED;
        }
        if (isComplete()) {
            return JobState.COMPLETED;
        }
        return hasBegun() ? JobState.RUNNING : JobState.QUEUED;
    }

    /** Returns the state that callers may be told: COMPLETED and FAILED are reported only once they are stored. */
    JobState storedState() {
        JobState state = state();
        if (!state.isFinal() || ended || state == JobState.CANCELLED) {
            return state;
        }
        return JobState.RUNNING;
    }

    /** Counts a start command for one of the job's work items. */
    void countStart(long nowMs) {
        if (starts == 0) {
            firstStartMs = nowMs;
        }
        starts++;
    }

    /** Counts a run that is over without a reported end. */
    void countLostRun() {
        lostRuns++;
    }

    /** Counts a run of an item whose data is on a rack. */
    void countRunWithData(boolean isNear) {
        nearRuns += isNear ? 1 : 0;
        remoteRuns += isNear ? 0 : 1;
    }

    /** Returns the number of the job's items that name a rack of their data and the places of their runs; else "". */
    private String localitySummary() {
        int itemsWithData = submission.steps().stream()
                .filter(step -> step.rackOfData().isPresent())
                .mapToInt(StepSpec::count)
                .sum();
        return itemsWithData == 0
                ? ""
                : " itemsWithData=" + itemsWithData + " near=" + nearRuns + " remote=" + remoteRuns;
    }

    /** Returns the job's duration, waiting time and run counts for logs. */
    String summary(long nowMs) {
        String waited = starts == 0 ? "none" : Long.toString(firstStartMs - submission.acceptedMs());
        int failures = items().stream().mapToInt(WorkItem::failures).sum();
        return "tookMs=" + (nowMs - submission.acceptedMs()) + " waitedMs=" + waited + " runs=" + starts + " lost="
                + lostRuns + " failed=" + failures + (exceedsShare ? " beyondShare" : "")
                + localitySummary();
    }

    /** Returns whether the job was submitted above its team's rate. */
    boolean exceedsShare() {
        return exceedsShare;
    }

    void markExceedsShare() {
        exceedsShare = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isFailed() {
        return failed;
    }

    void fail() {
        failed = true;
    }

    /** Has the scheduler decide later whether failed runs have used up the attempts of a work item. */
    void deferFailure() {
        failureDeferred = true;
    }

    /** Returns whether that decision was deferred, and clears the mark. */
    boolean takeDeferredFailure() {
        boolean deferred = failureDeferred;
        failureDeferred = false;
        return deferred;
    }

    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Returns whether work items may be started: the job is neither cancelled, failed nor ended. */
    boolean isOpen() {
        return !cancelled && !failed && !ended;
    }

    long acceptedRevision() {
        return acceptedRevision;
    }

    long progressRevision() {
        return progressRevision;
    }

    /** Returns whether no progress record of this job is stored. */
    boolean hasNoProgressRecord() {
        return progressRevision == Transaction.ABSENT;
    }

    void setProgressRevision(long revision) {
        progressRevision = revision;
    }

    /** Returns whether there are changes that are not in a commit yet. */
    boolean isDirty() {
        return dirty;
    }

    void markDirty() {
        dirty = true;
    }

    /** Returns whether a commit of the progress record is in flight. */
    boolean isWriting() {
        return writing;
    }

    void setWriting(boolean writing) {
        this.writing = writing;
    }

    /** Runs an action after the next commit, which stores the state as of now. */
    void runAfterCommit(Runnable action) {
        dirty = true;
        commitActions.add(action);
    }

    /** Removes and returns the actions to run after the next commit. */
    List<Runnable> takeCommitActions() {
        List<Runnable> actions = commitActions;
        commitActions = new ArrayList<>();
        dirty = false;
        return actions;
    }

    /** Restores the actions of a commit that did not take place. */
    void restoreCommitActions(List<Runnable> actions) {
        List<Runnable> all = new ArrayList<>(actions);
        all.addAll(commitActions);
        commitActions = all;
        dirty = true;
    }

    /** Returns the next progress record, with all work items that have been started at least once. */
    ProgressRecord nextProgressRecord(long fencingToken) {
        sequence++;
        return new ProgressRecord(
                fencingToken,
                sequence,
                items().stream()
                        .filter(WorkItem::isStarted)
                        .map(WorkItem::progressRow)
                        .toList());
    }
}
