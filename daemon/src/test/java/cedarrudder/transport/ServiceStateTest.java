package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.transport.ServiceState.Event;
import cedarrudder.transport.ServiceState.Life;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Every row of the table of the proxy's states. */
public class ServiceStateTest {

    @DataProvider
    public static Object[][] rows() {
        return new Object[][] {
            // life, drained: event, life, drained, healthy
            {Life.SERVING, false, Event.DRAIN, Life.SERVING, true, false},
            {Life.SERVING, false, Event.RESUME, Life.SERVING, false, true},
            {Life.SERVING, false, Event.END, Life.ENDING, false, false},
            {Life.SERVING, false, Event.REPLACE, Life.REPLACED, false, true},
            {Life.SERVING, true, Event.DRAIN, Life.SERVING, true, false},
            {Life.SERVING, true, Event.RESUME, Life.SERVING, false, true},
            {Life.SERVING, true, Event.END, Life.ENDING, true, false},
            {Life.SERVING, true, Event.REPLACE, Life.REPLACED, true, false},
            {Life.ENDING, false, Event.DRAIN, Life.ENDING, true, false},
            {Life.ENDING, false, Event.RESUME, Life.ENDING, false, false},
            {Life.ENDING, false, Event.END, Life.ENDING, false, false},
            {Life.ENDING, false, Event.REPLACE, Life.ENDING, false, false},
            {Life.ENDING, true, Event.DRAIN, Life.ENDING, true, false},
            {Life.ENDING, true, Event.RESUME, Life.ENDING, false, false},
            {Life.ENDING, true, Event.END, Life.ENDING, true, false},
            {Life.ENDING, true, Event.REPLACE, Life.ENDING, true, false},
            {Life.REPLACED, false, Event.DRAIN, Life.REPLACED, true, false},
            {Life.REPLACED, false, Event.RESUME, Life.REPLACED, false, true},
            {Life.REPLACED, false, Event.END, Life.REPLACED, false, true},
            {Life.REPLACED, false, Event.REPLACE, Life.REPLACED, false, true},
            {Life.REPLACED, true, Event.DRAIN, Life.REPLACED, true, false},
            {Life.REPLACED, true, Event.RESUME, Life.REPLACED, false, true},
            {Life.REPLACED, true, Event.END, Life.REPLACED, true, false},
            {Life.REPLACED, true, Event.REPLACE, Life.REPLACED, true, false},
        };
    }

    @Test(dataProvider = "rows")
    public void everyEventHasADefinedResult(
            Life life,
            boolean drained,
            Event event,
            Life then,
            boolean drainedThen,
            boolean healthy) {
        ServiceState next = new ServiceState(life, drained).on(event);
        assertEquals(next, new ServiceState(then, drainedThen));
        assertEquals(next.isHealthy(), healthy);
        assertEquals(next.isServing(), then == Life.SERVING);
    }
}
