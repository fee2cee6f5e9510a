package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.StepSpec;

/** A job that the scheduler works on. */
final class ActiveJob {
    private final JobSubmission submission;
    private final Map<Integer, List<List<WorkItem>>> occurrences = new TreeMap<>();
    private final List<WorkItem> items = new ArrayList<>();
    private int doneItems;
    private int startedItems;
    private long changeCount;
    private long firstStartMs;
    private int starts;
    private int lostRuns;
    private boolean exceedsShare;
    private boolean cancelled;
    private boolean failed;
    private boolean ended;
    private long progressRevision;
    private long sequence;
    private boolean dirty;
    private boolean writing;
    private List<Runnable> commitActions = new ArrayList<>();

    ActiveJob(JobSubmission submission) {
        this.submission = submission;
    }

    JobSubmission submission() {
        return submission;
    }

    String id() {
        return submission.id();
    }

    /** Creates the work items of occurrences that are due. */
    void createDueOccurrences(long nowMs) {
        for (int k = occurrences.size(); k < submission.occurrences(); k++) {
            if (submission.recurrence() != null && submission.recurrence().dueMs(k) > nowMs) {
                return;
            }
            getOrCreateOccurrence(k);
        }
    }

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

    /** Told by a work item that its run has begun or is over. */
    void onItemChanged(boolean newlyStarted, boolean newlyDone) {
        changeCount++;
        startedItems += newlyStarted ? 1 : 0;
        doneItems += newlyDone ? 1 : 0;
    }

    /** Number of changes of its work items, by which what was derived from them is known to be out of date. */
    long changeCount() {
        return changeCount;
    }

    private List<WorkItem> items(int occurrence, int step) {
        StepSpec spec = submission.steps().get(step);
        return IntStream.range(0, spec.count())
                .mapToObj(index -> new WorkItem(new ItemId(id(), occurrence, step, index), this, spec))
                .toList();
    }

    void restore(ProgressRecord record, long revision) {
        progressRevision = revision;
        for (ProgressRecord.ItemRow row : record.items()) {
            List<List<WorkItem>> steps = getOrCreateOccurrence(row.occurrence());
            if (row.step() < steps.size() && row.index() < steps.get(row.step()).size()) {
                steps.get(row.step()).get(row.index()).restore(row);
            }
        }
    }

    /** Work items of the steps whose predecessors are done, by step. */
    void forEachReadyStep(Consumer<List<WorkItem>> action) {
        for (List<List<WorkItem>> steps : occurrences.values()) {
            for (List<WorkItem> step : steps) {
                if (!step.isEmpty() && isReady(steps, step.get(0).spec())) {
                    action.accept(step);
                }
            }
        }
    }

    private static boolean isReady(List<List<WorkItem>> steps, StepSpec spec) {
        for (int earlier : spec.after()) {
            if (!isDone(steps.get(earlier))) {
                return false;
            }
        }
        return true;
    }

    /** All work items of open occurrences. */
    List<WorkItem> items() {
        return Collections.unmodifiableList(items);
    }

    /** Whether a run of a work item may be at work. */
    boolean hasRuns() {
        for (WorkItem item : items) {
            if (item.run().isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** All work items of the step that an item belongs to. */
    List<WorkItem> stepOf(ItemId item) {
        return occurrences.get(item.occurrence()).get(item.step());
    }

    /** The work item of this name, or null. */
    WorkItem item(ItemId item) {
        List<List<WorkItem>> steps = occurrences.get(item.occurrence());
        if (steps == null || item.step() < 0 || item.step() >= steps.size()) {
            return null;
        }
        List<WorkItem> step = steps.get(item.step());
        return item.index() < 0 || item.index() >= step.size() ? null : step.get(item.index());
    }

    boolean isStarted() {
        return startedItems > 0;
    }

    boolean isComplete() {
        return occurrences.size() == submission.occurrences() && doneItems == items.size();
    }

    /**
     * Time that the longest chain of steps takes that are not done, ms.
     *
     * @param stepMs expected time of a step by its number
     */
    double remainingCriticalPathMs(IntToDoubleFunction stepMs) {
        double longest = 0;
        for (List<List<WorkItem>> steps : occurrences.values()) {
            longest =
                    Math.max(longest, criticalPathMs(step -> isDone(steps.get(step)) ? 0 : stepMs.applyAsDouble(step)));
        }
        return occurrences.isEmpty() ? criticalPathMs(stepMs) : longest;
    }

    /** Time that the longest chain of steps takes, ms. */
    double criticalPathMs(IntToDoubleFunction stepMs) {
        double longest = 0;
        double[] finish = new double[submission.steps().size()];
        for (int s = 0; s < finish.length; s++) {
            for (int earlier : submission.steps().get(s).after()) {
                finish[s] = Math.max(finish[s], finish[earlier]);
            }
            finish[s] += stepMs.applyAsDouble(s);
            longest = Math.max(longest, finish[s]);
        }
        return longest;
    }

    private static boolean isDone(List<WorkItem> step) {
        for (WorkItem item : step) {
            if (!item.isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Number of work items of a step that have not been started or have to be started again. */
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
        return isStarted() ? JobState.RUNNING : JobState.QUEUED;
    }

    /** The state that callers may be told: a final one only once it is stored. */
    JobState storedState() {
        JobState state = state();
        if (!state.isFinal() || ended || state == JobState.CANCELLED) {
            return state;
        }
        return JobState.RUNNING;
    }

    /** Notes that a run was ordered. */
    void countStart(long nowMs) {
        if (starts == 0) {
            firstStartMs = nowMs;
        }
        starts++;
    }

    /** Notes that a run was over without an end. */
    void countLostRun() {
        lostRuns++;
    }

    /** How the job came along, for logs. */
    String summary(long nowMs) {
        String waited = starts == 0 ? "none" : Long.toString(firstStartMs - submission.acceptedMs());
        int failures = items().stream().mapToInt(WorkItem::failures).sum();
        return "tookMs=" + (nowMs - submission.acceptedMs()) + " waitedMs=" + waited + " runs=" + starts + " lost="
                + lostRuns + " failed=" + failures + (exceedsShare ? " beyondShare" : "");
    }

    /** Whether the job is beyond its team's rate. */
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

    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Whether its work items may be started. */
    boolean isOpen() {
        return !cancelled && !failed && !ended;
    }

    long progressRevision() {
        return progressRevision;
    }

    void setProgressRevision(long revision) {
        progressRevision = revision;
    }

    boolean isDirty() {
        return dirty;
    }

    void markDirty() {
        dirty = true;
    }

    boolean isWriting() {
        return writing;
    }

    void setWriting(boolean writing) {
        this.writing = writing;
    }

    /** Runs an action once all that is known now is stored. */
    void runAfterCommit(Runnable action) {
        dirty = true;
        commitActions.add(action);
    }

    /** Takes the actions that wait for the next commit. */
    List<Runnable> takeCommitActions() {
        List<Runnable> actions = commitActions;
        commitActions = new ArrayList<>();
        dirty = false;
        return actions;
    }

    /** Puts actions back whose commit did not take place. */
    void restoreCommitActions(List<Runnable> actions) {
        List<Runnable> all = new ArrayList<>(actions);
        all.addAll(commitActions);
        commitActions = all;
        dirty = true;
    }

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
