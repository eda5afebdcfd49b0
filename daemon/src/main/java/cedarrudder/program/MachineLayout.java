package cedarrudder.program;

import cedarrudder.footprint.Layout;
import com.sun.management.HotSpotDiagnosticMXBean;
import java.lang.management.ManagementFactory;

/** How this virtual machine lays out objects, by what it says of its own settings. */
final class MachineLayout {

    private MachineLayout() { }

    static Layout read() {
        HotSpotDiagnosticMXBean machine = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        return Layout.of(flag(machine, "UseCompressedOops"), flag(machine, "UseCompressedClassPointers"),
                Integer.parseInt(machine.getVMOption("ObjectAlignmentInBytes").getValue()));
    }

    private static boolean flag(HotSpotDiagnosticMXBean machine, String name) {
        return Boolean.parseBoolean(machine.getVMOption(name).getValue());
    }
}
