package cedarrudder.program;

import cedarrudder.footprint.ObjectLayout;
import cedarrudder.footprint.ProcessLimits;
import com.sun.management.HotSpotDiagnosticMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The object layout and the limits of this virtual machine, read from its own settings. */
final class MachineLayout {

    private MachineLayout() {}

    static ObjectLayout read() {
        HotSpotDiagnosticMXBean machine =
                ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        return ObjectLayout.of(
                flag(machine, "UseCompressedOops"),
                flag(machine, "UseCompressedClassPointers"),
                Integer.parseInt(machine.getVMOption("ObjectAlignmentInBytes").getValue()));
    }

    /**
     * Returns the limits of this process.
     *
     * @param memory bytes of the machine's memory that the process may use; 0: no limit is known
     */
    static ProcessLimits limits(long memory) {
        HotSpotDiagnosticMXBean machine =
                ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        long heap = Runtime.getRuntime().maxMemory();
        long direct = Long.parseLong(machine.getVMOption("MaxDirectMemorySize").getValue());
        return new ProcessLimits(
                heap,
                memory,
                direct == 0 ? heap : direct,
                ManagementFactory.getOperatingSystemMXBean()
                                instanceof UnixOperatingSystemMXBean unix
                        ? unix.getMaxFileDescriptorCount()
                        : 0);
    }

    private static boolean flag(HotSpotDiagnosticMXBean machine, String name) {
        return Boolean.parseBoolean(machine.getVMOption(name).getValue());
    }
}
