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
 * The reader of conditions, in a jar of its own beside the program's. This avoids a start that
 * reads the list of its thousands of files where no policy has a condition.
 */
final class ConditionsJar implements ConditionCompiler {

    private static final String NAME = "cedarrudder-conditions.jar";
    private static final String CLASS = "cedarrudder.conditions.CelConditions";

    private ConditionCompiler opened;

    private ConditionCompiler open() {
        if (opened == null) {
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
                // It stays open for as long as the program runs, as its classes are read from it.
                @SuppressWarnings("resource")
                URLClassLoader loader =
                        new URLClassLoader(
                                new URL[] {jar.toURI().toURL()},
                                ConditionsJar.class.getClassLoader());
                opened =
                        (ConditionCompiler)
                                loader.loadClass(CLASS).getDeclaredConstructor().newInstance();
            } catch (URISyntaxException | IOException | ReflectiveOperationException e) {
                throw new InvalidConditionException(
                        "a " + NAME + " that can't be opened (" + e + ")",
                        "the one " + "that was built with the program");
            }
        }
        return opened;
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
