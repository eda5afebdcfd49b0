package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** How many requests an endpoint may hold, by how long its answers take. */
public class EndpointConcurrencyLimitTest {

    private static final double WORK = 50e6;

    /** An endpoint of some processors that is always given as much as it may hold. */
    private static EndpointConcurrencyLimit full(
            EndpointConcurrencyLimit limit, int processors, int answers) {
        for (int i = 0; i < answers; i++) {
            double held = Math.ceil(limit.limit());
            limit.onResponse(held, WORK * Math.max(1, held / processors), WORK);
        }
        return limit;
    }

    @Test
    public void itBeginsAtTheSafeValue() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        assertTrue(limit.hasCapacity(3));
        assertFalse(limit.hasCapacity(4));
        assertEquals(full(limit, 16, 19).limit(), 4.0, "too few answers to go by");
    }

    @Test
    public void anEndpointOfManyProcessorsComesToHoldAsManyAsTheyServe() {
        double limit = full(new EndpointConcurrencyLimit(4), 16, 5000).limit();
        assertTrue(limit > 16 && limit < 22, "came to " + limit);
    }

    @Test
    public void aSmallOneThatIsFullFromTheFirstMomentOnKeepsTheSafeValue() {
        assertEquals(full(new EndpointConcurrencyLimit(4), 1, 5000).limit(), 4.0);
    }

    @Test
    public void itGoesBackWhenTheAnswersTakeLonger() {
        EndpointConcurrencyLimit limit = full(new EndpointConcurrencyLimit(4), 16, 5000);
        full(limit, 1, 5000);
        assertEquals(limit.limit(), 4.0);
    }

    @Test
    public void itDoesNotGrowWhereItIsNotMet() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        for (int i = 0; i < 1000; i++) {
            limit.onResponse(2, WORK, WORK);
        }
        assertEquals(limit.limit(), 4.0);
    }

    @Test
    public void withoutWhatItNeedsThereIsNoLimit() {
        EndpointConcurrencyLimit limit = new EndpointConcurrencyLimit(4);
        limit.onResponse(4, WORK, 0);
        assertTrue(limit.hasCapacity(1000));
        assertTrue(full(new EndpointConcurrencyLimit(0), 1, 100).hasCapacity(1000));
    }
}
