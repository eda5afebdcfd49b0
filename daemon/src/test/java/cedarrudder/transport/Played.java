package cedarrudder.transport;

import java.lang.reflect.Proxy;
import java.util.function.BiConsumer;

/** Parts that a test plays itself. */
final class Played {

    private Played() {}

    /** Someone who does this with each call, by the method's name and the arguments. */
    static <T> T by(Class<T> who, BiConsumer<String, Object[]> with) {
        return who.cast(
                Proxy.newProxyInstance(
                        who.getClassLoader(),
                        new Class<?>[] {who},
                        (self, method, arguments) -> {
                            with.accept(method.getName(), arguments);
                            return null;
                        }));
    }
}
