package cedarrudder.toml;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Reading of valid and invalid files; all problems of a file are reported in one run. */
public class ConfigTableTest {

    private enum Shade {
        LIGHT_BLUE,
        RED
    }

    private static List<String> problems(ConfigDocument document) {
        return document.problems().stream().map(ConfigProblem::toString).toList();
    }

    @Test
    public void presentValuesAndDefaultsAreRead() throws Exception {
        ConfigDocument document =
                ConfigDocument.parse(
                        "a.toml",
                        """
                        size = 3
                        shade = "light-blue"
                        wait_ms = [1, 2.5]
                        [[part]]
                        name = "x"
                        """);
        ConfigTable root = document.root();
        assertEquals(root.integer("size", 1, 5), 3);
        assertEquals(root.integer("most", 1, 5, 4), 4);
        assertEquals(root.choice("shade", Shade.class, null), Shade.LIGHT_BLUE);
        assertEquals(root.range("wait_ms", 0, 10, null), new double[] {1, 2.5});
        assertEquals(root.tables("part").get(0).text("name", null), "x");
        assertEquals(root.table("none"), null);
        root.done();
        document.check();
    }

    @Test
    public void allProblemsAreReportedInOneRunWithTheirLines() {
        ConfigDocument document =
                ConfigDocument.parse(
                        "a.toml",
                        """
                        sise = 3
                        shade = "blue"
                        many = 2.5
                        [[part]]
                        share = "half"
                        [[part]]
                        share = 3
                        """);
        ConfigTable root = document.root();
        root.integer("size", 1, 5, 2);
        root.choice("shade", Shade.class, null);
        root.integer("many", 1, 5, 1);
        for (ConfigTable part : root.tables("part")) {
            part.number("share", 0, 1);
            part.text("name", null);
            part.done();
        }
        root.done();
        assertEquals(
                problems(document),
                List.of(
                        "a.toml:1: sise: found an unknown key; allowed: did you mean 'size'?",
                        "a.toml:2: shade: found \"blue\"; allowed: light-blue, red",
                        "a.toml:3: many: found 2.5; allowed: a whole number from 1 to 5",
                        "a.toml:4: part[0].name: found nothing; allowed: a text",
                        "a.toml:5: part[0].share: found \"half\"; allowed: a number from 0 to 1",
                        "a.toml:6: part[1].name: found nothing; allowed: a text",
                        "a.toml:7: part[1].share: found 3; allowed: a number from 0 to 1"));
        assertEquals(
                expectThrows(InvalidFileException.class, document::check).problems().size(), 7);
    }

    @Test
    public void syntaxErrorIsReportedWithItsLine() {
        ConfigDocument document = ConfigDocument.parse("a.toml", "a = 1\nb = = 2\n");
        assertEquals(document.problems().get(0).line(), 2);
        assertEquals(document.root().keys(), List.of());
        InvalidFileException missing =
                expectThrows(
                        InvalidFileException.class,
                        () -> ConfigDocument.read(Path.of("none.toml")));
        assertEquals(missing.getMessage(), "none.toml: found no such file; allowed: a TOML file");
    }

    @Test
    public void documentListsKeysThatWereReadAndKeysWithProblems() {
        ConfigDocument document =
                ConfigDocument.parse(
                        "a.toml",
                        """
                        wait_ms = [5, 2]
                        most = 3
                        [[part]]
                        """);
        ConfigTable root = document.root();
        assertEquals(root.range("wait_ms", 0, 10, new double[] {1, 1}), new double[] {1, 1});
        assertEquals(root.rangeOrNull("share", 0, 1), null);
        root.integer("most", 1, 5);
        root.tables("part").get(0).flag("on", true);
        assertEquals(
                problems(document),
                List.of("a.toml:1: wait_ms: found [5, 2]; allowed: the lower end first: [2, 5]"));
        assertEquals(root.sound("most", "share"), true);
        assertEquals(root.sound("most", "wait_ms"), false);
        assertEquals(
                document.keys(),
                List.of(
                        new ConfigKey(
                                "wait_ms",
                                "a number from 0 to 10, or two such as [low, high]",
                                "1"),
                        new ConfigKey(
                                "share",
                                "a number from 0 to 1, or two such as [low, high]",
                                ConfigKey.NONE),
                        new ConfigKey("most", "a whole number from 1 to 5", ConfigKey.REQUIRED),
                        new ConfigKey("part", "tables written [[part]]", ConfigKey.NONE),
                        new ConfigKey("part.on", "true or false", "true")));
        assertEquals(ConfigTable.nearest("frnot", List.of("store", "front")), "front");
        assertEquals(ConfigTable.nearest("x", List.of("store", "front")), null);
    }
}
