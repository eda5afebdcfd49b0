package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import org.testng.annotations.Test;

/** Load reports, both valid and malformed. */
public class LoadReportParserTest {

    /** One absurd figure must not outweigh the reports of all other endpoints. */
    @Test
    public void unreadableReportIsIgnored() {
        assertEquals(LoadReportParser.parse("TEXT inflight=7, util=0.61").inFlight(), 7.0);
        for (String malformed :
                new String[] {
                    "",
                    "TEXT",
                    "TEXT inflight=",
                    "inflight=x",
                    "inflight=-1",
                    "inflight=NaN",
                    "inflight=1e300",
                    "=7",
                    "\u0000\u00ff"
                }) {
            assertNull(LoadReportParser.parse(malformed), malformed);
        }
    }
}
