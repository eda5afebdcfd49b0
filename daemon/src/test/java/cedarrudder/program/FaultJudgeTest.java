package cedarrudder.program;

import static org.testng.Assert.assertEquals;

import cedarrudder.program.FaultJudge.Answer;
import cedarrudder.program.FaultJudge.Sent;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** For each rule of the judge, a record that breaks it and one that just keeps it. */
public class FaultJudgeTest {

    private static final long SENT_AT = 1_000;
    private static final long WAIT = 2_000;
    private static final long LATEST = SENT_AT + WAIT + FaultJudge.MAX_LATE_NANOS;
    private static final long LEFT_AT = 5_000;
    private static final long LATEST_BEGIN = LEFT_AT + FaultJudge.MAX_BEGIN_AFTER_CLOSE_NANOS;

    private static Object[] row(int problems, boolean mayRunTwice, Consumer<FaultJudge> events) {
        return new Object[] {problems, mayRunTwice, events};
    }

    private static Answer served(String id, long at) {
        return new Answer("200", id, at);
    }

    @DataProvider
    public Object[][] records() {
        return new Object[][] {
            row(1, false, judge -> {}),
            row(0, false, judge -> judge.onExcused("a")),
            row(0, false, judge -> judge.onAnswer("a", served("a", LATEST))),
            row(1, false, judge -> judge.onAnswer("a", served("a", LATEST + 1))),
            row(1, false, judge -> judge.onAnswer("a", served("b", LATEST))),
            row(0, false, judge -> judge.onAnswer("a", new Answer("503", null, LATEST))),
            row(0, false, judge -> left(judge, LATEST_BEGIN)),
            row(1, false, judge -> left(judge, LATEST_BEGIN + 1)),
            row(1, false, FaultJudgeTest::ranTwice),
            row(0, true, FaultJudgeTest::ranTwice),
        };
    }

    private static void left(FaultJudge judge, long begunAt) {
        judge.onLeft("a", LEFT_AT);
        judge.onBegun("a", begunAt);
    }

    private static void ranTwice(FaultJudge judge) {
        judge.onAnswer("a", served("a", LATEST));
        judge.onRun("a");
        judge.onRun("a");
    }

    @Test(dataProvider = "records")
    public void aRecordIsJudgedByTheRules(
            int problems, boolean mayRunTwice, Consumer<FaultJudge> events) {
        FaultJudge judge = new FaultJudge();
        judge.onSent(new Sent("a", SENT_AT, WAIT, mayRunTwice));
        events.accept(judge);
        List<String> found = judge.problems();
        assertEquals(found.size(), problems, found.toString());
    }
}
