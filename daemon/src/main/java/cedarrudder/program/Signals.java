package cedarrudder.program;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/** Signals that the Java API has no support for. SIGTERM is handled by a shutdown hook. */
final class Signals {

    private Signals() {}

    /**
     * Runs a task at each SIGHUP, on a separate thread, in place of ending the virtual machine.
     *
     * <p>Uses reflection, since the compiler warns wherever the code names the class and the
     * warning can't be suppressed; the module that contains the class is open to all programs.
     *
     * @param otherwise receives the reason where the virtual machine doesn't allow it
     */
    static void onHangup(Runnable task, Consumer<String> otherwise) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler runs =
                    (self, method, arguments) -> {
                        task.run();
                        return null;
                    };
            Object handles =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(), new Class<?>[] {handler}, runs);
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    handles);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // The virtual machine leaves the signal ignored, as under nohup, and reports that
                // only here.
                otherwise.accept("it is ignored by whoever started this process");
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            otherwise.accept(e.toString());
        }
    }
}
