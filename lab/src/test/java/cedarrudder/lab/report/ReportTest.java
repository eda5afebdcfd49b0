package cedarrudder.lab.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.experiment.Fakes;
import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.Results;
import java.io.StringReader;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.InputSource;

/** The page of a small experiment. */
public class ReportTest {

    private Report report;
    private String html;
    private Document page;

    @BeforeClass
    public void draw() throws Exception {
        report = new Report(Fakes.results(6));
        html = report.html();
        DocumentBuilder parser = DocumentBuilderFactory.newDefaultNSInstance().newDocumentBuilder();
        page = parser.parse(new InputSource(new StringReader(html)));
    }

    private List<Element> elements(String name) {
        NodeList found = page.getElementsByTagNameNS("*", name);
        return IntStream.range(0, found.getLength())
                .mapToObj(i -> (Element) found.item(i))
                .toList();
    }

    @Test
    public void everyQuestionHasItsPlot() {
        List<String> titles =
                elements("svg").stream().map(svg -> svg.getFirstChild().getTextContent()).toList();
        for (String question :
                List.of(
                        "Goodput less prices: who differs from cedarrudder?",
                        "Latency, 99th percentile: who differs from cedarrudder?",
                        "When was worth lost?",
                        "How long did answers take?",
                        "How was load spread over nodes?",
                        "What did a request cost?",
                        "Does service hold?",
                        "Does latency grow?",
                        "Do probes grow?",
                        "Do attempts grow?",
                        "What does the model cost?")) {
            assertTrue(titles.contains(question), question + " in " + titles);
        }
        // Two for the metrics, four for each of two scenarios, five for the family.
        assertEquals(titles.size(), 2 + 2 * 4 + 5);
        for (Element svg : elements("svg")) {
            assertTrue(
                    svg.getElementsByTagNameNS("*", "text").getLength() > 5, svg.getTextContent());
        }
    }

    @Test
    public void thePageNeedsNothingButItself() {
        assertEquals(
                elements("script").size() + elements("link").size() + elements("img").size(), 0);
        assertFalse(
                Pattern.compile("(?:src|href)\\s*=\\s*\"(?!#)").matcher(html).find(),
                "a link outward");
        assertFalse(html.contains("@import"));
        assertFalse(Pattern.compile("url\\((?!#)").matcher(html).find(), "a resource outside");
        Set<String> ids = new HashSet<>();
        for (Element each : elements("*")) {
            assertTrue(
                    each.getAttribute("id").isEmpty() || ids.add(each.getAttribute("id")),
                    "twice: " + each.getAttribute("id"));
        }
    }

    @Test
    public void theSameResultsGiveTheSamePage() throws Exception {
        assertEquals(new Report(Fakes.results(6)).html(), html);
    }

    @Test
    public void anExperimentThatHasJustBegunHasAReportToo() throws Exception {
        Manifest manifest = Fakes.results(6).manifest();
        Report empty = new Report(new Results(manifest, new TreeMap<>(), new TreeMap<>()));
        assertTrue(empty.html().contains("0 of 36 runs"));
        assertTrue(empty.text().contains("0 of 36 runs"));
    }

    @Test
    public void theTextTellsTheVerdicts() {
        List<String> lines = report.text().lines().map(line -> line.replaceAll(" +", " ")).toList();
        assertTrue(lines.contains("small: Which is best?"));
        assertTrue(
                lines.stream().anyMatch(l -> l.startsWith("calm-10 oracle better 6 +0.0")),
                report.text());
        assertTrue(
                lines.stream().anyMatch(l -> l.startsWith("calm-100 random worse 6 -0.1")),
                report.text());
        assertEquals(
                report.means(Metric.P50).lines().toList().subList(0, 2),
                List.of("variant,kind,mean", "cedarrudder,calm-10,30.0"));
    }
}
