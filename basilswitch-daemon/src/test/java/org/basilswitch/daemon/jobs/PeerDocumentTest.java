package org.basilswitch.daemon.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Recurrence;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class PeerDocumentTest {
    private static final StepSpec STEP = new StepSpec(
            2,
            new Resources(1000, 500, 1),
            800,
            List.of(0),
            true,
            false,
            false,
            "a",
            "rack",
            1,
            true,
            false,
            "i",
            0,
            false,
            0);

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {new JobCall.Submit("text", List.of(STEP), Optional.of(new Recurrence(5, 10, 3)))},
            {new JobCall.Submit("text", List.of(STEP), Optional.empty())},
            {new JobCall.Query()},
            {new JobCall.Cancel()}
        };
    }

    @Test(dataProvider = "calls")
    public void callRoundTripsUnchanged(JobCall.Action action) {
        JobCall call = new JobCall("host", "/q/1", Optional.of("key"), Duration.ofMillis(2900), action);
        byte[] bytes = RecordCodec.encode(PeerDocument.Call.of(call));
        assertEquals(
                RecordCodec.decode(bytes, PeerDocument.Call.class).map(PeerDocument.Call::toCall), Optional.of(call));
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {new JobAnswer.Accepted()},
            {new JobAnswer.Cancelled()},
            {new JobAnswer.State(JobState.FAILED)},
            {new JobAnswer.Pending(12)},
            {new JobAnswer.UnknownQueue()},
            {new JobAnswer.UnknownKey()},
            {new JobAnswer.UnknownJob()},
            {new JobAnswer.Invalid("why")},
            {new JobAnswer.Refused("why", Duration.ofSeconds(1))},
            {new JobAnswer.Undecided("why")}
        };
    }

    @Test(dataProvider = "answers")
    public void answerRoundTripsUnchanged(JobAnswer answer) {
        byte[] bytes = RecordCodec.encode(PeerDocument.Answer.of(answer));
        assertEquals(
                RecordCodec.decode(bytes, PeerDocument.Answer.class).map(PeerDocument.Answer::toAnswer),
                Optional.of(answer));
    }
}
