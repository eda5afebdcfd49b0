package cedarrudder.operator;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.InvalidConditionException;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;

/**
 * Compiles conditions with a compiler from a separate jar beside the program's, so that a start
 * without conditions in its policies does not read the list of the jar's thousands of files.
 */
final class ConditionsJar implements ConditionCompiler {

    private static final String NAME = "cedarrudder-conditions.jar";
    private static final String CLASS = "cedarrudder.conditions.CelConditions";

    private ConditionCompiler compiler;

    private ConditionCompiler open() {
        if (compiler == null) {
            try {
                URI own =
                        ConditionsJar.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI();
                File jar = new File(new File(own).getParentFile(), NAME);
                if (!jar.isFile()) {
                    throw new InvalidConditionException(
                            "no " + NAME + " beside the program's jar",
                            "that file, " + "which reads conditions");
                }
                // The loader stays open for as long as the program runs, since classes are loaded
                // from the jar at any time.
                @SuppressWarnings("resource")
                URLClassLoader loader =
                        new URLClassLoader(
                                new URL[] {jar.toURI().toURL()},
                                ConditionsJar.class.getClassLoader());
                compiler =
                        (ConditionCompiler)
                                loader.loadClass(CLASS).getDeclaredConstructor().newInstance();
            } catch (URISyntaxException | IOException | ReflectiveOperationException e) {
                throw new InvalidConditionException(
                        "a " + NAME + " that can't be opened (" + e + ")",
                        "the one " + "that was built with the program");
            }
        }
        return compiler;
    }

    @Override
    public PolicyCondition compilePolicyCondition(String text) {
        return open().compilePolicyCondition(text);
    }

    @Override
    public NodeCondition compileNodeCondition(String text) {
        return open().compileNodeCondition(text);
    }
}
