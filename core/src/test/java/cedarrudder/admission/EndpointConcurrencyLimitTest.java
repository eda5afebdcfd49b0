package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how the limit on requests in flight at an endpoint follows the latency of responses. */
public class EndpointConcurrencyLimitTest {

    private static final double WORK = 50e6;

    /** Simulates an endpoint that always has as many requests in flight as its limit allows. */
    private static EndpointConcurrencyLimit underFullLoad(
            EndpointConcurrencyLimit limit, int processors, int responses) {
        for (int i = 0; i < responses; i++) {
            double inFlight = Math.ceil(limit.limit());
            limit.onResponse(inFlight, WORK * Math.max(1, inFlight / processors), WORK);
        }
        return limit;
    }

    @Test
    public void limitStartsAtTheSafeValue() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        assertTrue(limit.hasCapacity(3));
        assertFalse(limit.hasCapacity(4));
        assertEquals(underFullLoad(limit, 16, 19).limit(), 4.0, "too few responses to adapt to");
    }

    @Test
    public void limitRisesToWhatManyProcessorsServe() {
        double limit = underFullLoad(new EndpointConcurrencyLimit(4), 16, 5000).limit();
        assertTrue(limit > 16 && limit < 22, "limit " + limit);
    }

    @Test
    public void smallEndpointThatIsAlwaysFullKeepsTheSafeValue() {
        assertEquals(underFullLoad(new EndpointConcurrencyLimit(4), 1, 5000).limit(), 4.0);
    }

    @Test
    public void limitFallsWhenResponsesTakeLonger() {
        EndpointConcurrencyLimit limit = underFullLoad(new EndpointConcurrencyLimit(4), 16, 5000);
        underFullLoad(limit, 1, 5000);
        assertEquals(limit.limit(), 4.0);
    }

    @Test
    public void limitDoesNotRiseUnlessItIsReached() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        for (int i = 0; i < 1000; i++) {
            limit.onResponse(2, WORK, WORK);
        }
        assertEquals(limit.limit(), 4.0);
    }

    @Test
    public void unknownExpectedWorkMeansNoLimit() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        limit.onResponse(4, WORK, 0);
        assertTrue(limit.hasCapacity(1000));
        assertTrue(underFullLoad(new EndpointConcurrencyLimit(0), 1, 100).hasCapacity(1000));
    }
}
