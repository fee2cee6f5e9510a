package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class ProgressWriterTest {
    private final SimulatedTime time = SimulatedTime.create();
    private final MemoryStore store = MemoryStore.create(time, time);
    private final StoreKeys keys = new StoreKeys("test");

    /**
     * Guards against ends that are never acknowledged because they arrive while the job's final record is written; all
     * later ends of that server would stay unacknowledged as well.
     */
    @Test
    public void actionAddedDuringFinalWriteRuns() {
        CommitResult leadership = store.commit(Transaction.builder()
                .put(keys.schedulerLeadership(), new byte[] {1})
                .build());
        long fencingToken = ((CommitResult.Committed) leadership).revision();
        long accepted = ((CommitResult.Committed) store.commit(Transaction.builder()
                        .put(keys.jobAccepted("0000000000000001"), new byte[] {1})
                        .build()))
                .revision();
        MemoryStoreClient client = MemoryStoreClient.create(store, time, RandomSource.SPLIT_MIX_64.create(1));
        client.setOneWayDelay(Duration.ofMillis(50));
        List<String> finished = new ArrayList<>();
        ProgressWriter writer =
                new ProgressWriter(client, keys, time, Telemetry.none(), fencingToken, new ProgressWriter.Listener() {
                    @Override
                    public void onLeadershipLost(String reason) {
                        throw new AssertionError(reason);
                    }

                    @Override
                    public void onCancelled(ActiveJob job) {
                        throw new AssertionError("not cancelled");
                    }

                    @Override
                    public void onDeleted(ActiveJob job) {
                        throw new AssertionError("not deleted");
                    }

                    @Override
                    public void onWriteFinished(ActiveJob job) {
                        finished.add(job.id());
                    }
                });
        ActiveJob job = new ActiveJob(
                new JobSubmission("0000000000000001", "queue", "team", "spec", List.of(), null, 0), accepted);
        job.fail();
        job.markDirty();
        List<String> actions = new ArrayList<>();
        writer.flush(List.of(job));
        time.runFor(Duration.ofMillis(60));
        job.runAfterCommit(() -> actions.add("end stored"));
        time.runFor(Duration.ofMillis(200));
        assertEquals(finished, List.of(job.id()));
        assertTrue(job.isEnded());
        assertEquals(actions, List.of("end stored"));
    }
}
