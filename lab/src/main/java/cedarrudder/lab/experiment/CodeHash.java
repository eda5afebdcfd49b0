package cedarrudder.lab.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/**
 * Names the code that makes runs, so that results of two builds that differ in it are not mixed.
 */
public final class CodeHash {

    /** What can't change a result: reports and commands, and the daemon's sockets. */
    private static final List<String> BESIDE =
            List.of(
                    "lab/report",
                    "lab/command",
                    "program",
                    "transport",
                    "sim",
                    "protocol",
                    "logging");

    private CodeHash() {}

    /** The hash of the project's classes at the places from which these classes came. */
    public static String of(Class<?>... classes) {
        MessageDigest digest = Manifest.digest();
        try {
            for (Path place :
                    Arrays.stream(classes).map(CodeHash::place).distinct().sorted().toList()) {
                if (Files.isDirectory(place)) {
                    add(digest, place);
                } else {
                    try (FileSystem jar = FileSystems.newFileSystem(place)) {
                        add(digest, jar.getPath("/"));
                    }
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the program's own classes can't be read", e);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static Path place(Class<?> of) {
        try {
            URI place = of.getProtectionDomain().getCodeSource().getLocation().toURI();
            return Path.of(place);
        } catch (URISyntaxException e) {
            throw new IllegalStateException(of + " comes from no file", e);
        }
    }

    private static void add(MessageDigest digest, Path place) throws IOException {
        Path own = place.resolve("cedarrudder");
        if (!Files.isDirectory(own)) {
            return;
        }
        try (Stream<Path> files = Files.walk(own)) {
            List<Path> classes =
                    files.filter(f -> f.toString().endsWith(".class"))
                            .filter(f -> BESIDE.stream().noneMatch(own.relativize(f)::startsWith))
                            .sorted()
                            .toList();
            for (Path file : classes) {
                String name = own.relativize(file).toString();
                digest.update(name.getBytes(StandardCharsets.UTF_8));
                digest.update(Files.readAllBytes(file));
            }
        }
    }
}
