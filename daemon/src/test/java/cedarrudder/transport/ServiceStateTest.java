package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.transport.ServiceState.Event;
import cedarrudder.transport.ServiceState.Phase;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests every row of the state table of the proxy. */
public class ServiceStateTest {

    @DataProvider
    public static Object[][] rows() {
        return new Object[][] {
            // // phase, drained: event, phase, drained, healthy
            {Phase.SERVING, false, Event.DRAIN, Phase.SERVING, true, false},
            {Phase.SERVING, false, Event.RESUME, Phase.SERVING, false, true},
            {Phase.SERVING, false, Event.END, Phase.ENDING, false, false},
            {Phase.SERVING, false, Event.REPLACE, Phase.REPLACED, false, true},
            {Phase.SERVING, true, Event.DRAIN, Phase.SERVING, true, false},
            {Phase.SERVING, true, Event.RESUME, Phase.SERVING, false, true},
            {Phase.SERVING, true, Event.END, Phase.ENDING, true, false},
            {Phase.SERVING, true, Event.REPLACE, Phase.REPLACED, true, false},
            {Phase.ENDING, false, Event.DRAIN, Phase.ENDING, true, false},
            {Phase.ENDING, false, Event.RESUME, Phase.ENDING, false, false},
            {Phase.ENDING, false, Event.END, Phase.ENDING, false, false},
            {Phase.ENDING, false, Event.REPLACE, Phase.ENDING, false, false},
            {Phase.ENDING, true, Event.DRAIN, Phase.ENDING, true, false},
            {Phase.ENDING, true, Event.RESUME, Phase.ENDING, false, false},
            {Phase.ENDING, true, Event.END, Phase.ENDING, true, false},
            {Phase.ENDING, true, Event.REPLACE, Phase.ENDING, true, false},
            {Phase.REPLACED, false, Event.DRAIN, Phase.REPLACED, true, false},
            {Phase.REPLACED, false, Event.RESUME, Phase.REPLACED, false, true},
            {Phase.REPLACED, false, Event.END, Phase.REPLACED, false, true},
            {Phase.REPLACED, false, Event.REPLACE, Phase.REPLACED, false, true},
            {Phase.REPLACED, true, Event.DRAIN, Phase.REPLACED, true, false},
            {Phase.REPLACED, true, Event.RESUME, Phase.REPLACED, false, true},
            {Phase.REPLACED, true, Event.END, Phase.REPLACED, true, false},
            {Phase.REPLACED, true, Event.REPLACE, Phase.REPLACED, true, false},
        };
    }

    @Test(dataProvider = "rows")
    public void everyEventHasTheExpectedResult(
            Phase phase,
            boolean drained,
            Event event,
            Phase then,
            boolean drainedThen,
            boolean healthy) {
        ServiceState next = new ServiceState(phase, drained).after(event);
        assertEquals(next, new ServiceState(then, drainedThen));
        assertEquals(next.isHealthy(), healthy);
        assertEquals(next.isServing(), then == Phase.SERVING);
    }
}
