package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the launcher in a copy of the project that has the built jar and a Maven stub that only
 * records its arguments.
 */
public class LauncherIT {

    private Path root;
    private Path jar;
    private Path mavenCalls;

    private record Run(int exit, String out, String err) {}

    @BeforeMethod
    public void copyTheProject() throws IOException {
        root = Files.createTempDirectory("cedar rudder").toRealPath();
        for (String file :
                List.of(
                        "cedarrudder",
                        "pom.xml",
                        "deploy/balancer.toml",
                        "deploy/ClassData.java",
                        "deploy/operator.toml",
                        "daemon/pom.xml",
                        "core/pom.xml",
                        "conditions/pom.xml",
                        "daemon/target/cedarrudder.jar")) {
            Files.createDirectories(root.resolve(file).getParent());
            Files.copy(Path.of(file), root.resolve(file), StandardCopyOption.COPY_ATTRIBUTES);
        }
        for (String folder :
                List.of(
                        "core/src/main/java",
                        "conditions/src/main",
                        "daemon/src/main/java/old",
                        "bin")) {
            Files.createDirectories(root.resolve(folder));
        }
        jar = root.resolve("daemon/target/cedarrudder.jar");
        mavenCalls = root.resolve("calls");
        installMavenStub(0);
        makeFresh();
    }

    /**
     * Installs a Maven stub that records its arguments, prints to standard output and touches the
     * jar.
     */
    private void installMavenStub(int exit) throws IOException {
        Path installMavenStub = root.resolve("bin/mvn");
        Files.writeString(
                installMavenStub,
                "#!/bin/sh\necho \"$@\" >> \""
                        + mavenCalls
                        + "\"\necho noise\n"
                        + "touch \""
                        + jar
                        + "\"\nexit "
                        + exit
                        + "\n");
        Files.setPosixFilePermissions(
                installMavenStub, PosixFilePermissions.fromString("rwx------"));
    }

    private void makeFresh() throws IOException {
        Files.setLastModifiedTime(jar, FileTime.fromMillis(System.currentTimeMillis() + 3_600_000));
    }

    @AfterMethod
    public void remove() throws IOException {
        for (Path file : files()) {
            Files.delete(file);
        }
    }

    /** Returns all files, the files of a folder before the folder itself. */
    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }

    private Run run(Path folder, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(root.resolve("cedarrudder").toString()));
        command.addAll(List.of(arguments));
        Path err = root.resolve("err");
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(folder.toFile()).redirectError(err.toFile());
        builder.environment().remove("BALANCER_CONFIG");
        String first =
                root.resolve("bin")
                        + File.pathSeparator
                        + Path.of(System.getProperty("java.home"), "bin")
                        + File.pathSeparator;
        builder.environment().compute("PATH", (name, path) -> first + path);
        Process process = builder.start();
        process.getOutputStream().close();
        String out = Await.all("the end of the launcher", process);
        Await.end("the end of the launcher", process);
        return new Run(process.exitValue(), out, Files.readString(err));
    }

    @Test
    public void exitCodesArePassedOnAndStandardOutputIsOnlyTheCommandsFromAnyFolder()
            throws Exception {
        for (Path folder : List.of(root, root.resolve("deploy"), root.getParent())) {
            Run adapter = run(folder, "adapter");
            assertEquals(adapter, new Run(0, "", ""));
            assertEquals(
                    run(folder, "serve"),
                    new Run(1, "", "cedarrudder: BALANCER_CONFIG is not set\n"));
            assertEquals(run(folder).exit, 2);
            assertTrue(run(folder, "version").out.startsWith("cedarrudder "));
        }
        assertEquals(
                run(root.resolve("deploy"), "check", "operator.toml").out, "operator.toml: good\n");
        assertFalse(Files.exists(mavenCalls), "the launcher rebuilt an up-to-date jar");
    }

    @Test
    public void aStaleJarIsRebuilt() throws Exception {
        List<Path> sources =
                List.of(
                        root.resolve("pom.xml"),
                        root.resolve("core/src/main/java/New.java"),
                        root.resolve("daemon/src/main/java/old"));
        for (int i = 0; i < sources.size(); i++) {
            Files.writeString(root.resolve("core/src/main/java/New.java"), "");
            for (Path each : files()) {
                Files.setLastModifiedTime(each, FileTime.fromMillis(each.equals(jar) ? 30_000 : 0));
            }
            Files.setLastModifiedTime(sources.get(i), FileTime.fromMillis(60_000));
            assertTrue(run(root, "version").out.startsWith("cedarrudder "));
            assertEquals(Files.readAllLines(mavenCalls).size(), i + 1, sources.get(i).toString());
        }
        assertEquals(run(root, "version").err, "");
        assertEquals(
                Files.readAllLines(mavenCalls).get(0), "-B -q -DskipTests -pl daemon -am package");
    }

    @Test
    public void aFailedBuildExitsWithCodeOneAndRunsNothing() throws Exception {
        installMavenStub(3);
        Files.delete(jar);
        assertEquals(
                run(root, "adapter"), new Run(1, "", "noise\ncedarrudder: the build failed\n"));
    }
}
