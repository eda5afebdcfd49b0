package cedarrudder.transport;

import java.lang.reflect.Proxy;
import java.util.function.BiConsumer;

/** Creates stubs of interfaces. */
final class StubFactory {

    private StubFactory() {}

    /** Returns a stub that passes the method's name and the arguments of each call to a handler. */
    static <T> T create(Class<T> who, BiConsumer<String, Object[]> with) {
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
